/** Encoding of operator requests to a node and of its responses: paths, JSON and problem+json. */
import type { IncomingHttpHeaders } from 'node:http';

import { GalenatillerError, createProblemDetails, type ResultCodeName } from '@galenatiller/error';
import { Result } from 'true-myth';
import type { z } from 'zod';

import type { OperatorResponses, OperatorRequest } from './nodeReport.js';
import { problemDetailsSchema, RESPONSE_SCHEMAS, timelineQuerySchema } from './wireSchema.js';

/** Media type of an error response (RFC 9457). */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const EXPLAIN_PATH = '/v1/explain/';

/** Encodes the path of a request. */
export function encodeRequestPath(request: OperatorRequest): string {
  switch (request.kind) {
    case 'status':
      return '/v1/status';
    case 'explain':
      return `${EXPLAIN_PATH}${encodeURIComponent(request.requestId)}`;
    default: {
      const { requestId, target, afterTimestamp, maxEvents } = request.query;
      const query = new URLSearchParams({
        request: requestId,
        target,
        'after-ms': String(afterTimestamp.wallMs),
        'after-counter': String(afterTimestamp.counter),
        'max-events': String(maxEvents),
      });
      return `/v1/timeline?${query.toString()}`;
    }
  }
}

/** Decodes the method and path of a request. */
export function decodeRequest(
  method: string,
  path: string,
): Result<OperatorRequest, GalenatillerError> {
  const [route = '', query = ''] = path.split('?', 2);
  if (method === 'GET' && route === '/v1/status') {
    return Result.ok({ kind: 'status' });
  }
  if (method === 'GET' && route === '/v1/timeline') {
    return decodeTimelineQuery(query);
  }
  if (method === 'GET' && route.startsWith(EXPLAIN_PATH)) {
    return decodeRequestId(route.slice(EXPLAIN_PATH.length));
  }
  return failWith('unknown-path', `${method} ${route}`);
}

/** Returns the bearer key of a request; empty when there is none. */
export function decodeBearerKey(headers: IncomingHttpHeaders): string {
  return /^Bearer (\S+)$/i.exec(headers.authorization ?? '')?.[1] ?? '';
}

/** Encodes a response as JSON. */
export function encodeResponse<Kind extends keyof OperatorResponses>(
  response: OperatorResponses[Kind],
): string {
  return JSON.stringify(response);
}

/** Decodes the response to a kind of request. */
export function decodeResponse<Kind extends keyof OperatorResponses>(
  kind: Kind,
  text: string,
): Result<OperatorResponses[Kind], GalenatillerError> {
  return parseJson(text).andThen((json) => {
    const response = RESPONSE_SCHEMAS[kind].safeParse(json);
    return response.success
      ? Result.ok(response.data)
      : failWith('frame-invalid', describeFirstIssue(response.error));
  });
}

/** Encodes an error as problem+json. */
export function encodeProblemDetails(error: GalenatillerError): string {
  return JSON.stringify(createProblemDetails(error));
}

/** Decodes an error from problem+json. */
export function decodeProblemDetails(text: string): GalenatillerError {
  const problem = parseJson(text).map((json) => problemDetailsSchema.safeParse(json));
  if (problem.isErr || !problem.value.success) {
    return GalenatillerError.create({
      name: 'frame-invalid',
      detail: 'the error response is not a problem details document with a known result code',
    });
  }
  return GalenatillerError.create(problem.value.data);
}

function decodeTimelineQuery(query: string): Result<OperatorRequest, GalenatillerError> {
  const fields = timelineQuerySchema.safeParse(Object.fromEntries(new URLSearchParams(query)));
  return fields.success
    ? Result.ok({ kind: 'timeline', query: fields.data })
    : failWith('malformed-body', describeFirstIssue(fields.error));
}

function decodeRequestId(text: string): Result<OperatorRequest, GalenatillerError> {
  try {
    return Result.ok({ kind: 'explain', requestId: decodeURIComponent(text) });
  } catch {
    return failWith('malformed-body', 'the request id is not percent-encoded UTF-8');
  }
}

function parseJson(text: string): Result<unknown, GalenatillerError> {
  try {
    return Result.ok(JSON.parse(text));
  } catch {
    return failWith('frame-invalid', 'the response is not valid JSON');
  }
}

function describeFirstIssue(error: z.ZodError): string {
  const [issue] = error.issues;
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
}

function failWith(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
