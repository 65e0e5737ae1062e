/** Encoding of operators' requests to a node and of its replies: paths, JSON and problem+json. */
import type { IncomingHttpHeaders } from 'node:http';

import { GalenatillerError, createProblemDetails, type ResultCodeName } from '@galenatiller/error';
import { Result } from 'true-myth';
import type { z } from 'zod';

import type { OperatorResponses, OperatorRequest } from './nodeReport.js';
import { problemDetailsSchema, RESPONSE_SCHEMAS, timelineQuerySchema } from './wireSchema.js';

/** Media type of an encoded refusal (RFC 9457). */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const EXPLAIN_PATH = '/v1/explain/';

/** Writes the path of a request. */
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

/** Reads the method and path of a request. */
export function decodeRequest(
  method: string,
  path: string,
): Result<OperatorRequest, GalenatillerError> {
  const [route = '', query = ''] = path.split('?', 2);
  if (method === 'GET' && route === '/v1/status') {
    return Result.ok({ kind: 'status' });
  }
  if (method === 'GET' && route === '/v1/timeline') {
    return decodeTimeline(query);
  }
  if (method === 'GET' && route.startsWith(EXPLAIN_PATH)) {
    return decodeRequestId(route.slice(EXPLAIN_PATH.length));
  }
  return refuse('unknown-path', `${method} ${route}`);
}

/** The bearer key of a request; empty when there is none. */
export function decodeBearerKey(headers: IncomingHttpHeaders): string {
  return /^Bearer (\S+)$/i.exec(headers.authorization ?? '')?.[1] ?? '';
}

/** Writes a reply. */
export function encodeResponse<Kind extends keyof OperatorResponses>(
  reply: OperatorResponses[Kind],
): string {
  return JSON.stringify(reply);
}

/** Reads the reply to a kind of request. */
export function decodeResponse<Kind extends keyof OperatorResponses>(
  kind: Kind,
  text: string,
): Result<OperatorResponses[Kind], GalenatillerError> {
  return parseJson(text).andThen((json) => {
    const reply = RESPONSE_SCHEMAS[kind].safeParse(json);
    return reply.success ? Result.ok(reply.data) : refuse('frame-invalid', firstIssue(reply.error));
  });
}

/** Writes a refusal as problem+json. */
export function encodeProblemDetails(error: GalenatillerError): string {
  return JSON.stringify(createProblemDetails(error));
}

/** Reads a refusal. */
export function decodeProblemDetails(text: string): GalenatillerError {
  const problem = parseJson(text).map((json) => problemDetailsSchema.safeParse(json));
  if (problem.isErr || !problem.value.success) {
    return GalenatillerError.create({ name: 'frame-invalid', detail: 'a refusal without a code' });
  }
  return GalenatillerError.create(problem.value.data);
}

function decodeTimeline(query: string): Result<OperatorRequest, GalenatillerError> {
  const fields = timelineQuerySchema.safeParse(Object.fromEntries(new URLSearchParams(query)));
  return fields.success
    ? Result.ok({ kind: 'timeline', query: fields.data })
    : refuse('malformed-body', firstIssue(fields.error));
}

function decodeRequestId(text: string): Result<OperatorRequest, GalenatillerError> {
  try {
    return Result.ok({ kind: 'explain', requestId: decodeURIComponent(text) });
  } catch {
    return refuse('malformed-body', 'the request id is not percent-encoded UTF-8');
  }
}

function parseJson(text: string): Result<unknown, GalenatillerError> {
  try {
    return Result.ok(JSON.parse(text));
  } catch {
    return refuse('frame-invalid', 'a reply that is not JSON');
  }
}

function firstIssue(error: z.ZodError): string {
  const [issue] = error.issues;
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
}

function refuse(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
