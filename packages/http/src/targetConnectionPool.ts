import { connect, type Socket } from 'node:net';

import type { Cancel, TimerService } from '@galenatiller/timer';
import type { BodyEnd } from '@galenatiller/types';
import { type buildConnector, Client } from 'undici';

import { ConnectError } from './connectError.js';

/** A request as it is written to a target. */
export interface TargetRequest {
  /** IP:PORT of the target. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, in the order in which they are written. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Its abort ends the exchange and its connection. */
  readonly signal: AbortSignal;
}

/** An answer whose body is still to be read; reading throws when the body breaks off. */
export interface TargetResponse {
  readonly kind: 'answered';
  readonly status: number;
  readonly bodyEnd: BodyEnd;
  /** The value of a header, or an empty string; names are in lower case. */
  readonly header: (name: string) => string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection of the answer, so that nothing that follows on it is read. */
  readonly discard: () => void;
}

/** `unsent` proves that the target never saw the request; after `broken` it may have run. */
export interface TargetFailure {
  readonly kind: 'unsent' | 'broken';
  readonly detail: string;
}

/** Options of {@link TargetConnectionPool.create}. */
export interface TargetConnectionPoolOptions {
  readonly timer: TimerService;
  /** Longest time for opening a connection. */
  readonly connectLimitMs: number;
  /** Told of each new connection. */
  readonly onOpened: (address: string) => void;
}

interface Connection {
  readonly client: Client;
  /** Whether the target has closed its side in order, after all of its bytes were read. */
  readonly isEnded: () => boolean;
}

/** Idle time after which a connection is not used again when the target did not name a time. */
const IDLE_DEFAULT_MS = 4_000;

/** Taken off the idle time that a target names: its close may be on the way. */
const IDLE_MARGIN_MS = 1_000;

/** Idle connections of one target beyond this are closed. */
const IDLE_MOST = 8;

/** Probes of the kernel find a silent peer of an idle connection after this time. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Connections to targets, kept open between requests; one request at a time on each. */
export class TargetConnectionPool {
  private readonly idle = new Map<string, Connection[]>();

  private constructor(private readonly opts: TargetConnectionPoolOptions) {}

  /** Makes an empty set of connections. */
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

  /** Sends a request and waits for the head of the answer. */
  async exchange(request: TargetRequest): Promise<TargetResponse | TargetFailure> {
    if (request.signal.aborted) {
      return { kind: 'unsent', detail: 'given up before it was sent' };
    }
    const connection = this.take(request.address);
    try {
      const { statusCode, headers, body } = await connection.client.request({
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body ?? null,
        signal: request.signal,
        // The signal carries the deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const named = namedHeaders(headers);
      const bodyEnd = bodyEndOf(named);
      const mayStay =
        bodyEnd !== 'close' && String(named.connection ?? '').toLowerCase() !== 'close';
      return {
        kind: 'answered',
        status: statusCode,
        bodyEnd,
        headers: named,
        header: (name) => textOf(named[name]),
        body: this.readBody({ request, connection, body, bodyEnd, mayStay }),
        discard: () => {
          body.on('error', ignoreAbort);
          body.destroy();
          close(connection);
        },
      };
    } catch (cause) {
      close(connection);
      const detail = cause instanceof Error ? cause.message : 'the exchange failed';
      return { kind: cause instanceof ConnectError ? 'unsent' : 'broken', detail };
    }
  }

  private async *readBody(opts: {
    readonly request: TargetRequest;
    readonly connection: Connection;
    readonly body: AsyncIterable<Buffer>;
    readonly bodyEnd: BodyEnd;
    readonly mayStay: boolean;
  }): AsyncGenerator<Buffer, void, void> {
    const { request, connection } = opts;
    let whole = false;
    try {
      yield* opts.body;
      // The client takes a reset for the end of a body without length.
      if (opts.bodyEnd === 'close' && !connection.isEnded()) {
        throw new Error('the connection was reset in a body without length');
      }
      whole = true;
    } finally {
      if (whole && opts.mayStay) {
        this.keep(request.address, connection);
      } else {
        close(connection);
      }
    }
  }

  private take(address: string): Connection {
    return this.idle.get(address)?.pop() ?? this.connect(address);
  }

  private keep(address: string, connection: Connection): void {
    const kept = this.idle.get(address) ?? [];
    kept.push(connection);
    if (kept.length > IDLE_MOST) {
      kept.splice(0, 1).forEach(close);
    }
    this.idle.set(address, kept);
  }

  private connect(address: string): Connection {
    let isEnded = false;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_DEFAULT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (_options, callback) => {
        isEnded = false;
        const onEnded = (): void => {
          isEnded = true;
        };
        this.openSocket({ address, callback, onEnded });
      },
    });
    return { client, isEnded: () => isEnded };
  }

  private openSocket(opts: {
    readonly address: string;
    readonly callback: buildConnector.Callback;
    readonly onEnded: () => void;
  }): void {
    const { callback } = opts;
    const { connectLimitMs } = this.opts;
    const [host = '', port = ''] = opts.address.split(':');
    const socket: Socket = connect({
      host,
      port: Number(port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const cancelLimit: Cancel = this.opts.timer.after({
      delayMs: connectLimitMs,
      notify: () => {
        socket.destroy(new Error(`no connection within ${connectLimitMs} ms`));
      },
    });
    const onConnectError = (error: Error): void => {
      cancelLimit();
      callback(new ConnectError(error.message), null);
    };
    socket.once('error', onConnectError);
    socket.once('connect', () => {
      cancelLimit();
      socket.off('error', onConnectError);
      socket.once('end', opts.onEnded);
      this.opts.onOpened(opts.address);
      callback(null, socket);
    });
  }
}

function close(connection: Connection): void {
  connection.client.destroy().catch(ignoreAbort);
}

/** Destroying a client or a body fails what still waits on it; those have their own handlers. */
function ignoreAbort(): void {}

function bodyEndOf(named: Readonly<Record<string, unknown>>): BodyEnd {
  if ('transfer-encoding' in named) {
    return 'last-chunk';
  }
  return 'content-length' in named ? 'length' : 'close';
}

function namedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | readonly string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter(
      (pair): pair is [string, string | string[]] => pair[1] !== undefined,
    ),
  );
}

function textOf(value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : (value ?? []).join(', ');
}
