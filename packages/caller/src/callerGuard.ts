import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Cancel, TimerService } from '@galenatiller/timer';

import { BlockPool } from './blockPool.js';
import { BodyBudget, type BodyEndReason } from './bodyBudget.js';
import {
  chooseHeads,
  chooseIdle,
  chooseMostRequests,
  chooseNotReading,
  chooseUnread,
  type CloseReason,
  type ConnectionLimits,
  type PipelineLimits,
  PIPELINE_LIMITS,
} from './chooseConnections.js';
import {
  closeResponses,
  type Connection,
  createConnection,
  ignore,
  recordProgress,
  stopParsing,
} from './callerConnection.js';
import { ChunkPacer } from './chunkPacer.js';
import type { CallerFigures } from './callerFigures.js';
import { sendClientError } from './sendClientError.js';

/** A limit that ended a connection or a body. */
export type CallerLimit = CloseReason | BodyEndReason | 'busy';

/** Options of {@link CallerGuard.create}. */
export interface CallerGuardOptions {
  readonly figures: CallerFigures;
  readonly timer: TimerService;
  /** Requests in progress on a connection; the default is for callers that send ahead. */
  readonly pipeline?: PipelineLimits;
  /** Called for each connection that is closed, and for each body that is given up. */
  readonly onLimit: (limit: CallerLimit) => void;
  /** Called with the number of bytes of each part of a body that is read. */
  readonly onRead?: (bytes: number) => void;
}

/** How often limits that depend on time are checked. */
const CHECK_INTERVAL_MS = 250;

/** A caller that reads nothing of its response for this long is gone. */
const UNREAD_LIMIT_MS = 30_000;

/** Share of the memory for unread answers after whose writing it is checked at once. */
const CHECK_AFTER_SHARE = 0.125;

/** Bounds what the callers of one server take: connections, requests, bodies and unread answers. */
export class CallerGuard {
  readonly bodies: BodyBudget;

  readonly blocks: BlockPool;

  readonly pacer = ChunkPacer.create();

  private readonly connections = new Map<Socket, Connection>();

  private readonly limits: ConnectionLimits;

  private readonly pipeline: PipelineLimits;

  private requestCount = 0;

  private uncheckedBytes = 0;

  private constructor(private readonly opts: CallerGuardOptions) {
    const { figures, timer } = opts;
    this.pipeline = opts.pipeline ?? PIPELINE_LIMITS;
    this.blocks = BlockPool.create({ maxBytes: figures.bodyBytes });
    this.limits = { ...figures, unreadLimitMs: UNREAD_LIMIT_MS };
    this.bodies = BodyBudget.create({
      limitBytes: figures.bodyBytes,
      reservedBytes: figures.reservedBytes,
      nowMs: () => timer.nowMs(),
      onClosed: ({ reason }) => opts.onLimit(reason),
    });
  }

  /** Creates a guard without connections. */
  static create(opts: CallerGuardOptions): CallerGuard {
    return new CallerGuard(opts);
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.connections.size;
  }

  /** Whether so many requests are in progress that a new one must be turned away. */
  get isBusy(): boolean {
    return this.requestCount > this.opts.figures.maxRequests;
  }

  /** Records that a part of a body was read. */
  readonly recordRead = (bytes: number): void => this.opts.onRead?.(bytes);

  /** Watches the connections and requests of a server; call it before its requests are handled. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.addConnection(socket));
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      this.addRequest(request.socket, response);
    });
    server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
      const socket = stream as Socket;
      sendClientError({ error, socket, hasRequests: this.hasRequests(socket) });
    });
  }

  /**
   * Calls `notify`, possibly more than once, when the caller has ended or closed its connection, or when the
   * response has closed. One listener for each connection does this for all its responses: a response that
   * waits behind another one has no event for a connection that closes, and listeners for each request cost
   * an ordinary call several per cent of its processor time.
   */
  onGone(response: ServerResponse, notify: () => void): void {
    this.connections.get(response.req.socket)?.responses.set(response, notify);
  }

  /** Checks the limits that depend on time until cancelled. */
  start(): Cancel {
    return this.opts.timer.every({ intervalMs: CHECK_INTERVAL_MS, notify: () => this.check() });
  }

  /** Records that bytes were written which the connection did not take at once. */
  recordUnread(bytes: number): void {
    this.uncheckedBytes += bytes;
    if (this.uncheckedBytes >= this.limits.unreadBytes * CHECK_AFTER_SHARE) {
      this.checkUnread();
    }
  }

  private hasRequests(socket: Socket): boolean {
    return (this.connections.get(socket)?.requests ?? 0) > 0;
  }

  private addConnection(socket: Socket): void {
    const connection = createConnection(socket, this.opts.timer.nowMs());
    // Each request of a connection listens for its end.
    socket.setMaxListeners(0);
    if (this.connections.size >= this.limits.maxConnections) {
      this.close(chooseIdle(this.connections.values()) ?? connection, 'connections');
    }
    if (socket.destroyed) {
      return;
    }
    this.connections.set(socket, connection);
    const notifyGone = (): void => connection.responses.forEach((notify) => notify());
    // The connection closes only after the router's side has ended too, which takes longer.
    socket.once('end', notifyGone);
    socket.once('close', () => {
      notifyGone();
      this.connections.delete(socket);
      this.requestCount -= connection.requests;
      connection.requests = 0;
      setImmediate(() => closeResponses([...connection.responses.keys()]));
    });
  }

  private addRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (!connection) {
      return;
    }
    connection.requests += 1;
    this.requestCount += 1;
    connection.responses.set(response, ignore);
    response.once('close', () => this.endRequest(connection, response));
    if (this.isBusy) {
      this.closeMostRequests();
    }
    const { pauseAt, closeAt } = this.pipeline;
    if (connection.requests >= closeAt) {
      this.close(connection, 'requests');
    } else if (connection.requests >= pauseAt) {
      connection.isPaused = true;
      socket.pause();
    }
  }

  /** Makes room: callers that have sent many requests ahead must not keep others from being served. */
  private closeMostRequests(): void {
    const open = [...this.connections.values()].filter(({ socket }) => !socket.destroyed);
    const chosen = chooseMostRequests(open);
    if (chosen) {
      this.close(chosen, 'requests');
    }
  }

  private endRequest(ended: Connection, response: ServerResponse): void {
    const connection = ended;
    const { socket } = connection;
    connection.responses.get(response)?.();
    if (!connection.responses.delete(response) || connection.requests === 0) {
      return;
    }
    connection.requests -= 1;
    this.requestCount -= 1;
    connection.idleSinceMs = this.opts.timer.nowMs();
    connection.readBytes = socket.bytesRead;
    if (connection.isPaused && connection.requests < this.pipeline.pauseAt) {
      connection.isPaused = false;
      socket.resume();
    }
  }

  private check(): void {
    this.bodies.check();
    this.pacer.resumeNext();
    if (this.connections.size === 0) {
      return;
    }
    const nowMs = this.opts.timer.nowMs();
    const connections = [...this.connections.values()];
    connections.forEach((connection) => recordProgress(connection, nowMs));
    const { limits } = this;
    chooseHeads(connections, limits).forEach((chosen) => this.close(chosen, 'heads'));
    chooseNotReading(connections, limits, nowMs).forEach((chosen) =>
      this.close(chosen, 'not-reading'),
    );
    this.checkUnread();
  }

  private checkUnread(): void {
    this.uncheckedBytes = 0;
    chooseUnread([...this.connections.values()], this.limits).forEach((chosen) =>
      this.close(chosen, 'unread'),
    );
  }

  /** Closes a connection; requests that have been read but not parsed are dropped. */
  private close({ socket }: Connection, reason: CloseReason): void {
    if (socket.destroyed) {
      return;
    }
    this.opts.onLimit(reason);
    stopParsing(socket);
    socket.destroy();
  }
}
