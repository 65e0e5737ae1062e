import { connect, type Socket } from 'node:net';

import type { Cancel, TimerService } from '@galenatiller/timer';
import type { BodyEnd } from '@galenatiller/types';
import { type buildConnector, Client } from 'undici';

import { ConnectError } from './connectError.js';
import { findBodyEnd } from './findBodyEnd.js';
import { parseAddress, type SocketAddress } from './parseAddress.js';

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

/** What happened on one socket. */
interface SocketHistory {
  /** Whether the target has closed its side cleanly (FIN), after all of its bytes were read. */
  isEnded: boolean;
  responses: number;
  /** Records that a request is sent, or that data of a body has come. */
  recordProgress: () => void;
  /** Ids of the requests that were answered. */
  readonly ids: Set<string>;
}

interface Connection {
  readonly client: Client;
  /** History of the present socket; the client replaces a socket that has closed. */
  readonly history: () => SocketHistory;
}

/** Idle time after which a connection is not reused, unless the target sends a Keep-Alive timeout. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/** Subtracted from the Keep-Alive timeout of a target, whose close may already be in transit. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** Requests with an id after which a connection is not reused, so that its history stays short. */
const MAX_IDS = 200;

/** Maximum number of idle connections per target; the oldest ones beyond it are closed. */
const MAX_IDLE_CONNECTIONS = 8;

/** Maximum bytes on a connection without data of a body; a head is smaller, and so are its buffers. */
const MAX_OVERHEAD_BYTES = 1_048_576;

/** Idle time before the kernel sends TCP keep-alive probes, which detect a silent peer. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/**
 * A pool of connections to targets, which are reused between requests; each carries one request at a
 * time.
 */
export class TargetConnectionPool {
  private readonly idle = new Map<string, Connection[]>();

  private constructor(private readonly opts: TargetConnectionPoolOptions) {}

  /** Creates an empty pool. */
  static create(opts: TargetConnectionPoolOptions): TargetConnectionPool {
    return new TargetConnectionPool(opts);
  }

  /** Closes the idle connections of a target. */
  closeIdle(address: string): void {
    (this.idle.get(address) ?? []).forEach(close);
    this.idle.delete(address);
  }

  /** Closes every idle connection. */
  closeAllIdle(): void {
    [...this.idle.keys()].forEach((address) => this.closeIdle(address));
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
      const { statusCode, headers, body } = await connection.client.request({
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body ?? null,
        signal: request.signal,
        // The signal enforces the deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const definedHeaders = omitUndefined(headers);
      const bodyEnd = findBodyEnd({
        method: request.method,
        status: statusCode,
        headers: definedHeaders,
      });
      const history = connection.history();
      history.recordProgress();
      const isFirstOnConnection = history.responses === 0;
      history.responses += 1;
      if (request.id !== '') {
        history.ids.add(request.id);
      }
      const isReusable =
        bodyEnd !== 'close' &&
        history.ids.size < MAX_IDS &&
        String(definedHeaders.connection ?? '').toLowerCase() !== 'close';
      return {
        kind: 'answered',
        status: statusCode,
        isFirstOnConnection,
        bodyEnd,
        headers: definedHeaders,
        header: (name) => joinValues(definedHeaders[name]),
        body: this.readBody({ request, connection, body, bodyEnd, isReusable }),
        discard: () => {
          body.on('error', ignoreError);
          body.destroy();
          this.removeConnection(request.address, connection);
        },
      };
    } catch (cause) {
      close(connection);
      const detail = cause instanceof Error ? cause.message : 'the request failed';
      return { kind: cause instanceof ConnectError ? 'unsent' : 'broken', detail };
    }
  }

  private async *readBody(opts: {
    readonly request: TargetRequest;
    readonly connection: Connection;
    readonly body: AsyncIterable<Buffer>;
    readonly bodyEnd: BodyEnd;
    readonly isReusable: boolean;
  }): AsyncGenerator<Buffer, void, void> {
    const { request, connection } = opts;
    let isComplete = false;
    try {
      for await (const chunk of opts.body) {
        connection.history().recordProgress();
        this.opts.onRead?.(chunk.length);
        yield chunk;
      }
      // undici treats a reset as the end of a body without length.
      if (opts.bodyEnd === 'close' && !connection.history().isEnded) {
        throw new Error('the connection was reset within a body without length');
      }
      isComplete = true;
    } finally {
      if (isComplete && opts.isReusable) {
        this.keepConnection(request.address, connection);
      } else {
        close(connection);
      }
    }
  }

  /**
   * Takes the connection that was used last, but none that has answered a request with the same id:
   * a target that repeats that response would seem to answer this request.
   */
  private takeConnection(request: TargetRequest, address: SocketAddress): Connection {
    const { id } = request;
    const idle = this.idle.get(request.address) ?? [];
    const position = request.isConnectionNew
      ? -1
      : idle.findLastIndex((connection) => !connection.history().ids.has(id));
    return idle.splice(position, position < 0 ? 0 : 1)[0] ?? this.createConnection(address);
  }

  private removeConnection(address: string, connection: Connection): void {
    const idle = this.idle.get(address) ?? [];
    this.idle.set(
      address,
      idle.filter((other) => other !== connection),
    );
    close(connection);
  }

  private keepConnection(address: string, connection: Connection): void {
    const kept = this.idle.get(address) ?? [];
    kept.push(connection);
    if (kept.length > MAX_IDLE_CONNECTIONS) {
      kept.splice(0, 1).forEach(close);
    }
    this.idle.set(address, kept);
  }

  private createConnection(address: SocketAddress): Connection {
    let history = createHistory();
    const client = new Client(`http://${address.host}:${address.port}`, {
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
      connect: (_options, callback) => {
        const opened = createHistory();
        history = opened;
        this.openSocket({ address, callback, history: opened });
      },
    });
    return { client, history: () => history };
  }

  private openSocket(opts: {
    readonly address: SocketAddress;
    readonly callback: buildConnector.Callback;
    readonly history: SocketHistory;
  }): void {
    const { address, callback, history } = opts;
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
    const onConnectError = (error: Error): void => {
      cancelTimeout();
      callback(new ConnectError(error.message), null);
    };
    socket.once('error', onConnectError);
    socket.once('connect', () => {
      cancelTimeout();
      socket.off('error', onConnectError);
      socket.once('end', () => {
        history.isEnded = true;
      });
      history.recordProgress = limitOverhead(socket);
      this.opts.onOpened(`${address.host}:${address.port}`);
      callback(null, socket);
    });
  }
}

function createHistory(): SocketHistory {
  return { isEnded: false, responses: 0, recordProgress: () => {}, ids: new Set() };
}

/**
 * Closes a connection on which too many bytes come that belong to no body, such as informational
 * responses or extensions of chunks; the HTTP client would read them for as long as the request waits.
 * Returns a function to call when a request is sent and when data comes.
 */
function limitOverhead(socket: Socket): () => void {
  let progressAtBytes = 0;
  socket.prependListener('readable', () => {
    if (socket.bytesRead - progressAtBytes > MAX_OVERHEAD_BYTES) {
      socket.destroy(new Error(`over ${MAX_OVERHEAD_BYTES} bytes without data of a body`));
    }
  });
  return () => {
    progressAtBytes = socket.bytesRead;
  };
}

function close(connection: Connection): void {
  connection.client.destroy().catch(ignoreError);
}

/** Destroying a client or body rejects its pending operations, which have handlers of their own. */
function ignoreError(): void {}

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
