import { createHash, timingSafeEqual } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { findResultCode, GalenatillerError } from '@galenatiller/error';
import type { Logger } from '@galenatiller/logger';
import { Result } from 'true-myth';

import type {
  NodeStatus,
  OperatorRequest,
  RequestExplanation,
  TimelineQuery,
  TimelineResponse,
} from './nodeReport.js';
import {
  decodeBearerKey,
  decodeRequest,
  encodeProblemDetails,
  encodeResponse,
  PROBLEM_MEDIA_TYPE,
} from './wire.js';

/** Options of {@link startOperatorServer}. */
export interface StartOperatorServerOptions {
  readonly address: string;
  /** 0 takes any free port. */
  readonly port: number;
  /** Bearer keys that are valid; two while one replaces the other. */
  readonly keys: readonly string[];
  readonly logger: Logger;
  readonly readStatus: () => NodeStatus;
  readonly readTimeline: (query: TimelineQuery) => TimelineResponse;
  readonly explain: (requestId: string) => RequestExplanation;
}

/** A listening operator port. */
export interface OperatorServer {
  readonly port: number;
  /** Stops accepting connections; resolves when the last answer is out. */
  readonly stop: () => Promise<void>;
}

/** Time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 5_000;

/** Serves operators over HTTP; every path needs an operator key. */
export async function startOperatorServer(
  opts: StartOperatorServerOptions,
): Promise<OperatorServer> {
  const server = createServer(
    { headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
    (request, response) => {
      serveRequest(opts, request, response);
    },
  );
  server.listen(opts.port, opts.address);
  await once(server, 'listening');
  return { port: boundPort(server, opts.port), stop: () => stopServer(server) };
}

function serveRequest(
  opts: StartOperatorServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.on('error', () => {});
  request.resume();
  const reply = proveOperator(opts.keys, request)
    .andThen(() => decodeRequest(request.method ?? '', request.url ?? ''))
    .map((asked) => answer(opts, asked));
  if (reply.isErr) {
    const { error } = reply;
    opts.logger({ message: `Refused an operator with ${error.code} ${error.codeName}.` });
    response.writeHead(findResultCode(error.codeName).httpStatus, {
      'content-type': PROBLEM_MEDIA_TYPE,
    });
    response.end(encodeProblemDetails(error));
    return;
  }
  response.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' });
  response.end(reply.value);
}

function answer(opts: StartOperatorServerOptions, asked: OperatorRequest): string {
  switch (asked.kind) {
    case 'status':
      return encodeResponse(opts.readStatus());
    case 'timeline':
      return encodeResponse(opts.readTimeline(asked.query));
    default:
      return encodeResponse(opts.explain(asked.requestId));
  }
}

/** Compares digests, so that neither the length nor the content of a key shows in the time. */
function proveOperator(
  keys: readonly string[],
  request: IncomingMessage,
): Result<true, GalenatillerError> {
  const given = digest(decodeBearerKey(request.headers));
  const matches = keys.filter((key) => key !== '' && timingSafeEqual(digest(key), given));
  const detail = 'the bearer key is no operator key of this node';
  return matches.length > 0
    ? Result.ok(true)
    : Result.err(GalenatillerError.create({ name: 'unauthorized', detail }));
}

function digest(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}

function boundPort(server: Server, asked: number): number {
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : asked;
}

async function stopServer(server: Server): Promise<void> {
  const closed = once(server, 'close');
  server.close();
  server.closeIdleConnections();
  await closed;
}
