/**
 * Wire format of callers' requests and responses: JSON bodies, SSE events and problem+json refusals.
 */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import { MAX_BODY_BYTES, MAX_DEADLINE_MS } from '@galenatiller/constants';
import { GalenatillerError, createProblemDetails } from '@galenatiller/error';
import type { StagePart } from '@galenatiller/types';
import { Result } from 'true-myth';
import { z } from 'zod';

import type { Call, CallResponse } from './call.js';

const MAX_KEY_LENGTH = 255;
const MAX_TOKENS = 32_768;
const MS_PER_SECOND = 1_000;

const requestSchema = z.strictObject({
  model: z.string().optional(),
  prompt: z.string().default(''),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  body: z.json().default(null),
});

/** The decoded headers and body of a request, without the identity of the caller. */
export interface DecodedRequest {
  readonly call: Omit<Call, 'organisation' | 'requestId' | 'signal'>;
  readonly isStream: boolean;
}

/** Options of {@link decodeRequest}. */
export interface DecodeRequestOptions {
  /** Route named by the path; empty when the body names it. */
  readonly route: string;
  readonly headers: IncomingHttpHeaders;
  readonly bytes: Buffer;
}

/** Decodes the headers and body of a request. */
export function decodeRequest(
  opts: DecodeRequestOptions,
): Result<DecodedRequest, GalenatillerError> {
  if (opts.bytes.length > MAX_BODY_BYTES) {
    return refuse('body-too-large', `body of over ${MAX_BODY_BYTES} bytes`);
  }
  const json = parseJson(opts.bytes);
  if (json.isErr) {
    return Result.err(json.error);
  }
  const parsed = requestSchema.safeParse(json.value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return refuse('malformed-body', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
  }
  return decodeDeadline(opts.headers).andThen((deadlineMs) =>
    decodeRunKey(opts.headers).map((runKey) => ({
      isStream: parsed.data.stream,
      call: {
        route: opts.route || (parsed.data.model ?? ''),
        prompt: parsed.data.prompt,
        body: parsed.data.body,
        maxTokens: parsed.data.max_tokens ?? 0,
        deadlineMs,
        runKey,
        bodyDigest: createHash('sha256').update(opts.bytes).digest('hex'),
      },
    })),
  );
}

/** Hashes the bearer key in the headers (hex SHA-256); empty when there is none. */
export function hashBearerKey(headers: IncomingHttpHeaders): string {
  const match = /^Bearer (\S+)$/i.exec(headers.authorization ?? '');
  return match?.[1] ? createHash('sha256').update(match[1]).digest('hex') : '';
}

/** The fields of an encoded response that identify it. */
export interface ResponseIdentity {
  readonly requestId: string;
  readonly route: string;
}

/** Encodes a complete response as JSON. */
export function encodeResponse(identity: ResponseIdentity, response: CallResponse): string {
  return JSON.stringify({
    id: identity.requestId,
    object: 'text_completion',
    model: identity.route,
    choices: [{ index: 0, text: response.text, finish_reason: response.finishReason }],
    usage: { completion_tokens: response.tokens },
    result: response.body,
  });
}

/** Creates an encoder of stream parts as SSE events; the constant fields are encoded only once. */
export function createPartEncoder(identity: ResponseIdentity): (part: StagePart) => string {
  const id = JSON.stringify(identity.requestId);
  const model = JSON.stringify(identity.route);
  const head = `data: {"id":${id},"object":"text_completion","model":${model},"choices":[{"index":0,"text":`;
  return ({ text, offsetTokens, tokens }) =>
    `${head}${JSON.stringify(text)},"finish_reason":null}],"offset_tokens":${offsetTokens},"tokens":${tokens}}\n\n`;
}

/** Encodes the last SSE events of a complete stream. */
export function encodeStreamEnd(identity: ResponseIdentity, response: CallResponse): string {
  const chunk = {
    id: identity.requestId,
    object: 'text_completion',
    model: identity.route,
    choices: [{ index: 0, text: '', finish_reason: response.finishReason }],
    usage: { completion_tokens: response.tokens },
    result: response.body,
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

/** Encodes an error that ends an incomplete stream. */
export function encodeStreamError(requestId: string, error: GalenatillerError): string {
  return `event: error\ndata: ${encodeProblem(requestId, error)}\n\n`;
}

/** Encodes a refusal as problem+json (RFC 9457). */
export function encodeProblem(requestId: string, error: GalenatillerError): string {
  const { retryAfterMs } = error;
  return JSON.stringify({ ...createProblemDetails(error), requestId, retryAfterMs });
}

/** Creates the headers of a refusal. */
export function createProblemHeaders(error: GalenatillerError): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = { 'content-type': 'application/problem+json' };
  if (error.retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

function parseJson(bytes: Buffer): Result<unknown, GalenatillerError> {
  try {
    return Result.ok(JSON.parse(bytes.toString('utf8')));
  } catch (error) {
    return refuse('malformed-body', error instanceof Error ? error.message : 'not JSON');
  }
}

function decodeDeadline(headers: IncomingHttpHeaders): Result<number, GalenatillerError> {
  const text = headers['deadline-ms'];
  if (text === undefined) {
    return Result.ok(0);
  }
  const deadlineMs = Number(text);
  if (!Number.isInteger(deadlineMs) || deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
    return refuse('invalid-deadline', `Deadline-Ms must be from 1 to ${MAX_DEADLINE_MS}`);
  }
  return Result.ok(deadlineMs);
}

function decodeRunKey(headers: IncomingHttpHeaders): Result<string, GalenatillerError> {
  const runKey = headers['idempotency-key'] ?? '';
  if (typeof runKey !== 'string' || runKey.length > MAX_KEY_LENGTH) {
    return refuse(
      'malformed-body',
      `Idempotency-Key must be one value of at most ${MAX_KEY_LENGTH} characters`,
    );
  }
  return Result.ok(runKey);
}

function refuse(
  name: 'body-too-large' | 'invalid-deadline' | 'malformed-body',
  detail: string,
): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
