import { connect, type Socket } from 'node:net';

import type { Cancel, TimerService } from '@galenatiller/timer';
import type { BodyEnd } from '@galenatiller/types';
import type { buildConnector } from 'undici';

import {
  closeConnection,
  type Connection,
  createConnection,
  ignoreError,
  isReusable,
  readBody,
  recordBodyEnd,
} from './connection.js';
import { ConnectError } from './connectError.js';
import { findBodyEnd } from './findBodyEnd.js';
import { IdleConnections } from './idleConnections.js';
import { parseAddress, type SocketAddress } from './parseAddress.js';
import { requireValidStatus } from './requireValidStatus.js';

/** A request to a target. */
export interface TargetRequest {
  /** IP:PORT of the target. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, written in this order. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Id that the target repeats in its response; empty when it repeats none. */
  readonly id: string;
  /** Whether no connection that carried other requests may be used. */
  readonly isConnectionNew: boolean;
  /** Aborting it cancels the request and closes its connection. */
  readonly signal: AbortSignal;
}

/** A response whose body has not been read yet; reading throws when the body is interrupted. */
export interface TargetResponse {
  readonly kind: 'answered';
  readonly status: number;
  /** Whether no other response came on this connection before. */
  readonly isFirstOnConnection: boolean;
  readonly bodyEnd: BodyEnd;
  /** Returns the value of a header, or an empty string; names are in lower case. */
  readonly header: (name: string) => string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection, so that nothing more is read from it and no request uses it again. */
  readonly discard: () => void;
}

/** `unsent` proves that the target never received the request; after `broken` it may have run. */
export interface TargetFailure {
  readonly kind: 'unsent' | 'broken';
  readonly detail: string;
  /** Set if nothing listens at the address. */
  readonly isRefused?: boolean;
}

/** Options of {@link TargetConnectionPool.create}. */
export interface TargetConnectionPoolOptions {
  readonly timer: TimerService;
  /** Timeout for opening a connection. */
  readonly connectLimitMs: number;
  /** Called for each new connection. */
  readonly onOpened: (address: string) => void;
  /** Called with the number of bytes of each part of a body that is read. */
  readonly onRead?: (bytes: number) => void;
}

/** Idle time after which a connection is not reused, unless the target sends a Keep-Alive timeout. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/** Subtracted from the Keep-Alive timeout of a target, whose close may already be in transit. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** Requests with an id after which a connection is not reused, so that its history stays short. */
const MAX_IDS = 200;

/** Maximum number of idle connections per target; the oldest ones beyond it are closed. */
const MAX_IDLE_CONNECTIONS = 8;

/** Idle time before the kernel sends TCP keep-alive probes, which detect a silent peer. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/**
 * A pool of connections to targets, which are reused between requests; each carries one request at a
 * time.
 */
export class TargetConnectionPool {
  private readonly idle = IdleConnections.create({ maxPerPeer: MAX_IDLE_CONNECTIONS });

  private constructor(private readonly opts: TargetConnectionPoolOptions) {}

  /** Creates an empty pool. */
  static create(opts: TargetConnectionPoolOptions): TargetConnectionPool {
    return new TargetConnectionPool(opts);
  }

  /** Closes the idle connections of a target. */
  closeIdle(address: string): void {
    this.idle.close(address);
  }

  /** Closes every idle connection. */
  closeAllIdle(): void {
    this.idle.closeAll();
  }

  /** Sends a request and waits for the status and headers of the response. */
  async exchange(request: TargetRequest): Promise<TargetResponse | TargetFailure> {
    if (request.signal.aborted) {
      return { kind: 'unsent', detail: 'cancelled before the request was sent' };
    }
    const address = parseAddress(request.address);
    if (!address) {
      return { kind: 'unsent', detail: 'the address is not HOST:PORT' };
    }
    const connection = this.takeConnection(request, address);
    connection.history().recordProgress();
    try {
      const response = await connection.client.request({
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body ?? null,
        signal: request.signal,
        // The signal enforces the deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const { statusCode, headers, body } = requireValidStatus(response);
      const definedHeaders = omitUndefined(headers);
      const { method } = request;
      const bodyEnd = findBodyEnd({ method, status: statusCode, headers: definedHeaders });
      const history = connection.history();
      history.recordProgress();
      recordBodyEnd(connection, { bodyEnd, requestBytes: request.body?.length ?? 0 });
      const isFirstOnConnection = history.responses === 0;
      history.responses += 1;
      if (request.id !== '') {
        history.ids.add(request.id);
      }
      const mayKeep = history.ids.size < MAX_IDS && isReusable(bodyEnd, definedHeaders.connection);
      return {
        kind: 'answered',
        status: statusCode,
        isFirstOnConnection,
        bodyEnd,
        headers: definedHeaders,
        header: (name) => joinValues(definedHeaders[name]),
        body: readBody({
          connection,
          body,
          bodyEnd,
          keep: mayKeep ? () => this.idle.keep(request.address, connection) : undefined,
          onRead: this.opts.onRead,
        }),
        discard: () => {
          body.on('error', ignoreError);
          body.destroy();
          this.idle.remove(request.address, connection);
          closeConnection(connection);
        },
      };
    } catch (cause) {
      closeConnection(connection);
      return toFailure(cause);
    }
  }

  /**
   * Takes the connection that was used last, but none that has answered a request with the same id:
   * a target that repeats that response would seem to answer this request.
   */
  private takeConnection(request: TargetRequest, address: SocketAddress): Connection {
    const { id } = request;
    const idle = request.isConnectionNew
      ? undefined
      : this.idle.take(request.address, (connection) => !connection.history().ids.has(id));
    return (
      idle ??
      createConnection({
        origin: `http://${address.host}:${address.port}`,
        timer: this.opts.timer,
        keepAlive: {
          keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
          keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
        },
        openSocket: (_options, callback) => this.openSocket(address, callback),
      })
    );
  }

  private openSocket(address: SocketAddress, callback: buildConnector.Callback): void {
    const { connectLimitMs } = this.opts;
    const socket: Socket = connect({
      ...address,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    });
    const cancelTimeout: Cancel = this.opts.timer.after({
      delayMs: connectLimitMs,
      notify: () => {
        socket.destroy(new Error(`no connection within ${connectLimitMs} ms`));
      },
    });
    const onConnectError = (error: NodeJS.ErrnoException): void => {
      cancelTimeout();
      callback(new ConnectError(error), null);
    };
    socket.once('error', onConnectError);
    socket.once('connect', () => {
      cancelTimeout();
      socket.off('error', onConnectError);
      this.opts.onOpened(`${address.host}:${address.port}`);
      callback(null, socket);
    });
  }
}

function toFailure(cause: unknown): TargetFailure {
  const detail = cause instanceof Error ? cause.message : 'the request failed';
  return cause instanceof ConnectError
    ? { kind: 'unsent', detail, isRefused: cause.isRefused }
    : { kind: 'broken', detail };
}

function omitUndefined(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | readonly string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter(
      (pair): pair is [string, string | string[]] => pair[1] !== undefined,
    ),
  );
}

function joinValues(value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : (value ?? []).join(', ');
}
