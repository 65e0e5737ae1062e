import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';

import type { Logger } from '@galenatiller/logger';
import type { TaskGroup } from '@galenatiller/tasks';
import type { Cancel, TimerService } from '@galenatiller/timer';

import type { FindOrganisation, RunCall } from './call.js';
import { CallerGuard, type CallerLimit } from './callerGuard.js';
import type { CallerFigures } from './callerFigures.js';
import { HeldRequest } from './heldRequest.js';
import { serveCall } from './serveCall.js';

/** Options of {@link serveCallers}. */
export interface ServeCallersOptions {
  readonly address: string;
  readonly port: number;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
  readonly timer: TimerService;
  /** Limits for all callers together. */
  readonly figures: CallerFigures;
  /** Called for each connection or body that such a limit ended. */
  readonly onLimit: (limit: CallerLimit) => void;
  /** Called with the number of bytes of each part of a body that is read. */
  readonly onRead?: (bytes: number) => void;
  readonly findOrganisation: FindOrganisation;
  readonly createRequestId: () => string;
  readonly runCall: RunCall;
  /** Whether the load balancer may send calls to this node. */
  readonly isReady: () => boolean;
  /** Calls `notify` when a shutdown leaves no more time for calls; returns a function to unsubscribe. */
  readonly onWorkEnd: (notify: () => void) => Cancel;
}

/** A listening server for callers. */
export interface CallerServer {
  readonly port: number;
  /** Stops accepting connections and closes idle ones; running calls continue. May be called again. */
  readonly stop: () => void;
}

/** Timeout for receiving the headers of a request. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Timeout for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Node.js closes a connection whose request is still incomplete later than it was refused. */
const REQUEST_MARGIN_MS = 5_000;

/** Serves callers' requests, health and readiness over HTTP; each request is a task. */
export async function serveCallers(opts: ServeCallersOptions): Promise<CallerServer> {
  const guard = CallerGuard.create(opts);
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS + REQUEST_MARGIN_MS,
      noDelay: true,
      IncomingMessage: HeldRequest,
    },
    (request, response) => {
      if (request.socket.destroyed) {
        return;
      }
      opts.tasks.start(async () => {
        await serveRequest(opts, guard, request, response);
        await whenSent(response);
      });
    },
  );
  guard.watch(server);
  const cancelChecks = guard.start();
  server.once('close', cancelChecks);
  server.listen(opts.port, opts.address);
  await once(server, 'listening');
  return { port: getBoundPort(server, opts.port), stop: () => stopServer(server) };
}

async function serveRequest(
  opts: ServeCallersOptions,
  guard: CallerGuard,
  request: HeldRequest,
  response: ServerResponse,
): Promise<void> {
  response.on('error', () => {});
  if (!opts.isReady()) {
    // The connection would close under the next request on it.
    response.setHeader('connection', 'close');
  }
  if (request.method === 'GET' && request.url === '/healthz') {
    response.writeHead(200).end('ok\n');
    return;
  }
  if (request.method === 'GET' && request.url === '/readyz') {
    const ready = opts.isReady();
    response.writeHead(ready ? 200 : 503).end(ready ? 'ready\n' : 'not ready\n');
    return;
  }
  await serveCall({
    ...opts,
    guard,
    bodyDeadlineAtMs: opts.timer.nowMs() + REQUEST_TIMEOUT_MS,
    request,
    response,
  });
}

/** Resolves once the response has left the process, or its connection has closed. */
async function whenSent(response: ServerResponse): Promise<void> {
  if (response.writableEnded && !response.writableFinished && !response.destroyed) {
    await new Promise((resolve) => {
      response.once('finish', resolve);
      response.once('close', resolve);
      // A response that waits behind another one has no event for a connection that closes.
      response.req.socket.once('close', resolve);
    });
  }
}

function getBoundPort(server: Server, requestedPort: number): number {
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : requestedPort;
}

function stopServer(server: Server): void {
  server.close();
  server.closeIdleConnections();
}
