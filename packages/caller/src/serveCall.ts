import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

import { MAX_BODY_BYTES, STOP_RETRY_AFTER_MS } from '@galenatiller/constants';
import { createProblemDetails, GalenatillerError } from '@galenatiller/error';
import type { Logger } from '@galenatiller/logger';
import { whenPolled } from '@galenatiller/tasks';
import type { Cancel } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { Call, CallResponse, FindOrganisation, RunCall, WritePart } from './call.js';
import type { CallerGuard, CallerLimit } from './callerGuard.js';
import type { HeldRequest } from './heldRequest.js';
import { PartWriter } from './partWriter.js';
import { type BodyFailure, readBody, type ReadBody } from './readBody.js';
import {
  type ResponseIdentity,
  decodeRequest,
  encodeResponse,
  encodeProblem,
  encodeStreamEnd,
  encodeStreamError,
  hashBearerKey,
  createProblemHeaders,
} from './wire.js';

/** Options of {@link serveCall}. */
export interface ServeCallOptions {
  readonly request: HeldRequest;
  readonly response: ServerResponse;
  readonly guard: CallerGuard;
  /** Monotonic time until which the body must be complete. */
  readonly bodyDeadlineAtMs: number;
  /** Called when a request is turned away as too many are in progress. */
  readonly onLimit: (limit: CallerLimit) => void;
  readonly logger: Logger;
  readonly findOrganisation: FindOrganisation;
  readonly createRequestId: () => string;
  readonly runCall: RunCall;
  readonly isReady: () => boolean;
  /** Calls `notify` when a shutdown leaves no more time for calls; returns a function to unsubscribe. */
  readonly onWorkEnd: (notify: () => void) => Cancel;
}

const ROUTE_PATH = /^\/v1\/routes\/([^/?]+)$/;
/** Time to retry when callers take all that they may. */
const BUSY_RETRY_AFTER_MS = 500;
const COMPLETIONS_PATH = '/v1/completions';

/** Serves one call, from its first byte to its last. */
export async function serveCall(opts: ServeCallOptions): Promise<void> {
  const { request, response } = opts;
  const requestId = opts.createRequestId();
  const disconnected = new AbortController();
  const onEnded = (): void => {
    disconnected.abort();
  };
  // The connection closes only after the entry's side has ended too, which takes longer.
  const { socket } = request;
  socket.once('end', onEnded);
  socket.once('close', onEnded);
  response.once('close', () => {
    socket.off('end', onEnded);
    socket.off('close', onEnded);
    onEnded();
  });

  const route = findRoute(request);
  if (route.isErr) {
    sendProblem(opts, requestId, route.error);
    return;
  }
  const organisation = opts.findOrganisation(hashBearerKey(request.headers));
  if (organisation === '') {
    sendProblem(opts, requestId, createError('unauthorized', 'no organisation has this key'));
    return;
  }
  if (opts.guard.isBusy) {
    opts.onLimit('busy');
    sendProblem(opts, requestId, createBusyError('too many requests are in progress'));
    return;
  }
  // A refusal before the body has arrived could be lost: closing a connection with unread data resets it.
  const bytes = await readBodyUntilWorkEnds(opts);
  await whenPolled();
  if (bytes.isErr) {
    sendProblem(opts, requestId, bytes.error);
    return;
  }
  try {
    await serveBody(opts, {
      requestId,
      organisation,
      route: route.value,
      disconnected,
      body: bytes.value,
    });
  } finally {
    bytes.value.release();
  }
}

interface ReceivedCall {
  readonly requestId: string;
  readonly organisation: string;
  readonly route: string;
  readonly disconnected: AbortController;
  readonly body: ReadBody;
}

async function serveBody(opts: ServeCallOptions, received: ReceivedCall): Promise<void> {
  const { request, response } = opts;
  const { requestId, organisation, disconnected, body } = received;
  if (!opts.isReady()) {
    sendProblem(opts, requestId, createStoppingError());
    return;
  }
  const decoded = decodeRequest({
    route: received.route,
    headers: request.headers,
    bytes: body.bytes,
  });
  if (decoded.isErr) {
    sendProblem(opts, requestId, decoded.error);
    return;
  }

  const call = { ...decoded.value.call, requestId, organisation, signal: disconnected.signal };
  const identity = { requestId, route: call.route };
  const writer = PartWriter.create({ response, identity });
  const result = await runCall(opts, call, async (part) => {
    if (decoded.value.isStream) {
      startStream(response, identity);
      await writer.write(part);
    }
  });
  writer.flush();
  if (result.isErr) {
    sendFailure(opts, requestId, result.error);
    return;
  }
  sendResponse(response, identity, result.value, decoded.value.isStream);
}

/** Runs a call; one whose run throws is answered too, as the connection would stay open without an answer. */
async function runCall(
  opts: ServeCallOptions,
  call: Call,
  writePart: WritePart,
): ReturnType<RunCall> {
  try {
    return await opts.runCall(call, writePart);
  } catch (error) {
    opts.logger({ message: `Call failed: ${String(error)}.`, requestId: call.requestId });
    return Result.err(createError('internal', 'the call failed unexpectedly'));
  }
}

function findRoute(request: HeldRequest): Result<string, GalenatillerError> {
  const url = request.url ?? '';
  if (request.method === 'POST' && url === COMPLETIONS_PATH) {
    return Result.ok('');
  }
  const match = request.method === 'POST' ? ROUTE_PATH.exec(url) : null;
  return match?.[1]
    ? Result.ok(decodeComponent(match[1]))
    : Result.err(createError('unknown-path', `${request.method ?? ''} ${url}`));
}

function decodeComponent(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

/** Reads the body; refuses a call whose body is still incomplete when a shutdown ends. */
function readBodyUntilWorkEnds(
  opts: ServeCallOptions,
): Promise<Result<ReadBody, GalenatillerError>> {
  const { request, guard, bodyDeadlineAtMs: deadlineAtMs } = opts;
  const { bodies: budget, blocks, pacer, recordRead: onRead } = guard;
  return new Promise((resolve, reject) => {
    const cancel = opts.onWorkEnd(() => resolve(Result.err(createStoppingError())));
    readBody({ request, budget, blocks, pacer, onRead, deadlineAtMs, maxBytes: MAX_BODY_BYTES })
      .then((body) => resolve(body.mapErr(createBodyError)), reject)
      .finally(cancel);
  });
}

function createBodyError(failure: BodyFailure): GalenatillerError {
  switch (failure) {
    case 'too-large':
      return createError('body-too-large', `body of over ${MAX_BODY_BYTES} bytes`);
    case 'too-many-chunks':
      return createError('body-too-large', 'the body has too many chunks for its size');
    case 'no-memory':
      return createBusyError('the memory for bodies is needed for other calls');
    case 'too-slow':
      return createError('headers-too-slow', 'the request was not complete in time');
    default:
      return createError('headers-too-slow', 'the request was interrupted');
  }
}

function startStream(response: ServerResponse, identity: ResponseIdentity): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': identity.requestId,
  });
}

function sendResponse(
  response: ServerResponse,
  identity: ResponseIdentity,
  callResponse: CallResponse,
  isStream: boolean,
): void {
  if (response.destroyed) {
    return;
  }
  if (isStream) {
    startStream(response, identity);
    response.end(encodeStreamEnd(identity, callResponse));
    return;
  }
  sendWhole(response, {
    status: 200,
    headers: { 'content-type': 'application/json', 'x-request-id': identity.requestId },
    text: encodeResponse(identity, callResponse),
  });
}

function sendFailure(opts: ServeCallOptions, requestId: string, error: GalenatillerError): void {
  if (!opts.response.headersSent) {
    sendProblem(opts, requestId, error);
    return;
  }
  opts.response.end(encodeStreamError(requestId, error));
}

function sendProblem(opts: ServeCallOptions, requestId: string, error: GalenatillerError): void {
  const { request, response } = opts;
  opts.logger({ message: `Refused with ${error.code} ${error.codeName}.`, requestId });
  if (response.destroyed) {
    return;
  }
  const headers = createProblemHeaders(error);
  // Otherwise the rest of an unread body would be parsed as the next request.
  const connection = request.complete ? {} : { connection: 'close' };
  sendWhole(response, {
    status: createProblemDetails(error).status,
    headers: { ...headers, ...connection, 'x-request-id': requestId },
    text: encodeProblem(requestId, error),
  });
}

/** Sends a response with its length: to a caller of HTTP/1.0, any other end is that of the connection. */
function sendWhole(
  response: ServerResponse,
  opts: {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly text: string;
  },
): void {
  const body = Buffer.from(opts.text);
  response.writeHead(opts.status, { ...opts.headers, 'content-length': body.length });
  response.end(body);
}

function createBusyError(detail: string): GalenatillerError {
  return GalenatillerError.create({
    name: 'overloaded',
    detail,
    retryAfterMs: BUSY_RETRY_AFTER_MS,
  });
}

function createStoppingError(): GalenatillerError {
  return GalenatillerError.create({
    name: 'stopping',
    detail: 'the entry accepts no new calls',
    retryAfterMs: STOP_RETRY_AFTER_MS,
  });
}

function createError(
  name: 'body-too-large' | 'headers-too-slow' | 'internal' | 'unauthorized' | 'unknown-path',
  detail: string,
): GalenatillerError {
  return GalenatillerError.create({ name, detail });
}
