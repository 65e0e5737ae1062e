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
  /** 0 selects any free port. */
  readonly port: number;
  /** Accepted bearer keys; there are two while one is rotated out. */
  readonly keys: readonly string[];
  readonly logger: Logger;
  /** Bounds what clients of the server may take; called before it listens. */
  readonly limitClients: (server: Server) => void;
  readonly readStatus: () => NodeStatus;
  readonly readTimeline: (query: TimelineQuery) => TimelineResponse;
  readonly explain: (requestId: string) => RequestExplanation;
}

/** A running operator server. */
export interface OperatorServer {
  readonly port: number;
  /** Stops accepting connections and resolves once all responses have been sent. */
  readonly stop: () => Promise<void>;
}

/** Time limit for receiving a whole request. */
const REQUEST_TIMEOUT_MS = 5_000;

/** Starts the HTTP server for operators. Every path requires an operator key. */
export async function startOperatorServer(
  opts: StartOperatorServerOptions,
): Promise<OperatorServer> {
  const server = createServer(
    { headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
    (request, response) => {
      if (request.socket.destroyed) {
        return;
      }
      handleRequest(opts, request, response);
    },
  );
  opts.limitClients(server);
  server.listen(opts.port, opts.address);
  await once(server, 'listening');
  return { port: getBoundPort(server, opts.port), stop: () => stopServer(server) };
}

function handleRequest(
  opts: StartOperatorServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.on('error', () => {});
  request.resume();
  const responseText = authenticate(opts.keys, request)
    .andThen(() => decodeRequest(request.method ?? '', request.url ?? ''))
    .map((operatorRequest) => createResponseText(opts, operatorRequest));
  if (responseText.isErr) {
    const { error } = responseText;
    opts.logger({ message: `Rejected an operator request: ${error.code} ${error.codeName}.` });
    response.writeHead(findResultCode(error.codeName).httpStatus, {
      'content-type': PROBLEM_MEDIA_TYPE,
    });
    response.end(encodeProblemDetails(error));
    return;
  }
  response.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' });
  response.end(responseText.value);
}

function createResponseText(opts: StartOperatorServerOptions, request: OperatorRequest): string {
  switch (request.kind) {
    case 'status':
      return encodeResponse(opts.readStatus());
    case 'timeline':
      return encodeResponse(opts.readTimeline(request.query));
    default:
      return encodeResponse(opts.explain(request.requestId));
  }
}

/** Compares digests in constant time, so that timing reveals neither the length nor the content of a key. */
function authenticate(
  keys: readonly string[],
  request: IncomingMessage,
): Result<true, GalenatillerError> {
  const receivedDigest = computeDigest(decodeBearerKey(request.headers));
  const matchingKeys = keys.filter(
    (key) => key !== '' && timingSafeEqual(computeDigest(key), receivedDigest),
  );
  const detail = 'the bearer key is not an operator key of this node';
  return matchingKeys.length > 0
    ? Result.ok(true)
    : Result.err(GalenatillerError.create({ name: 'unauthorized', detail }));
}

function computeDigest(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}

function getBoundPort(server: Server, requestedPort: number): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : requestedPort;
}

async function stopServer(server: Server): Promise<void> {
  const closed = once(server, 'close');
  server.close();
  server.closeIdleConnections();
  await closed;
}
