/** Encoding of callers' requests and answers: JSON bodies, SSE events and problem+json refusals. */
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

/** What the bytes of a request say; the caller's identity is not in them. */
export interface DecodedRequest {
  readonly call: Omit<Call, 'organisation' | 'requestId' | 'signal'>;
  readonly stream: boolean;
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
      stream: parsed.data.stream,
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

/** Hex SHA-256 of the bearer key in the headers; empty when there is none. */
export function hashBearerKey(headers: IncomingHttpHeaders): string {
  const found = /^Bearer (\S+)$/i.exec(headers.authorization ?? '');
  return found?.[1] ? createHash('sha256').update(found[1]).digest('hex') : '';
}

/** Identifies an answer in its encoding. */
export interface ResponseIdentity {
  readonly requestId: string;
  readonly route: string;
}

/** Encodes a whole answer as JSON. */
export function encodeResponse(identity: ResponseIdentity, answer: CallResponse): string {
  return JSON.stringify({
    id: identity.requestId,
    object: 'text_completion',
    model: identity.route,
    choices: [{ index: 0, text: answer.text, finish_reason: answer.finishReason }],
    usage: { completion_tokens: answer.tokens },
    result: answer.body,
  });
}

/** Makes the encoder of a stream's pieces into SSE events; what never changes is encoded once. */
export function createPartEncoder(identity: ResponseIdentity): (part: StagePart) => string {
  const id = JSON.stringify(identity.requestId);
  const model = JSON.stringify(identity.route);
  const head = `data: {"id":${id},"object":"text_completion","model":${model},"choices":[{"index":0,"text":`;
  return ({ text, offsetTokens, tokens }) =>
    `${head}${JSON.stringify(text)},"finish_reason":null}],"offset_tokens":${offsetTokens},"tokens":${tokens}}\n\n`;
}

/** Encodes the end of a whole stream as its last SSE events. */
export function encodeStreamEnd(identity: ResponseIdentity, answer: CallResponse): string {
  const chunk = {
    id: identity.requestId,
    object: 'text_completion',
    model: identity.route,
    choices: [{ index: 0, text: '', finish_reason: answer.finishReason }],
    usage: { completion_tokens: answer.tokens },
    result: answer.body,
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

/** Encodes an error that ends a stream before it is whole. */
export function encodeStreamError(requestId: string, error: GalenatillerError): string {
  return `event: error\ndata: ${encodeProblem(requestId, error)}\n\n`;
}

/** Encodes a refusal as problem+json (RFC 9457). */
export function encodeProblem(requestId: string, error: GalenatillerError): string {
  const { retryAfterMs } = error;
  return JSON.stringify({ ...createProblemDetails(error), requestId, retryAfterMs });
}

/** Headers of a refusal. */
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
