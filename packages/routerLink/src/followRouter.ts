import { connect, type Socket } from 'node:net';

import type { TimerService } from '@galenatiller/timer';
import type { PieceResult, StagePiece } from '@galenatiller/types';

import type { RouterFrame } from './routerFrames.js';
import { RouterSocket } from './routerSocket.js';

/** A change of what is known of a peer. */
export interface PeerEvent {
  readonly kind: 'opened' | 'lost';
  readonly peer: string;
  readonly detail: string;
  readonly ordersLost: number;
}

/** Options of {@link PeerRouter.create}. */
export interface PeerRouterOptions {
  readonly timer: TimerService;
  readonly selfName: string;
  readonly peerName: string;
  /** IP:PORT. */
  readonly address: string;
  readonly onEvent: (event: PeerEvent) => void;
}

interface OpenOrder {
  /** Undefined when the link was lost. */
  readonly settle: (result: PieceResult | undefined) => void;
}

/** The version of the frames; routers of another version end the link. */
export const LINK_VERSION = 2;

const CONNECT_LIMIT_MS = 400;

/** A peer that lives answers within a round trip and its longest pause for garbage collection. */
const SILENCE_LIMIT_MS = 600;

/** Pings go out only while orders wait for an answer. */
const PING_MS = 200;

const REOPEN_MS = 300;

/** The link to another router, and the orders that wait for it. */
export class PeerRouter {
  private socket: RouterSocket | undefined;

  private nextOrderId = 1;

  private readonly orders = new Map<number, OpenOrder>();

  private heardAtMs = 0;

  private constructor(private readonly opts: PeerRouterOptions) {}

  /** Makes a peer whose link is not open yet. */
  static create(opts: PeerRouterOptions): PeerRouter {
    return new PeerRouter(opts);
  }

  /** Whether orders can be sent now. */
  get isOpen(): boolean {
    return this.socket !== undefined;
  }

  /** Has the peer make a piece; undefined when the link was lost before it ended. */
  order(opts: {
    readonly service: string;
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
  }): Promise<PieceResult | undefined> {
    const { service, piece, signal } = opts;
    const { socket } = this;
    if (!socket) {
      return Promise.resolve(undefined);
    }
    const orderId = this.nextOrderId;
    this.nextOrderId += 1;
    const nowMs = this.opts.timer.nowMs();
    const { deadlineAtMs, dueAtMs, zoneWaitUntilMs, inputsExpireAtMs, ...told } = piece;
    return new Promise((resolve) => {
      const cancel = (): void => {
        this.send({ kind: 'piece-cancel', orderId });
        end({ kind: 'failed', reason: 'late' });
      };
      const end = (result: PieceResult | undefined): void => {
        this.orders.delete(orderId);
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      signal.addEventListener('abort', cancel, { once: true });
      this.orders.set(orderId, { settle: end });
      const isSent = this.send({
        kind: 'piece-order',
        orderId,
        service,
        ...told,
        deadlineInMs: deadlineAtMs - nowMs,
        dueInMs: dueAtMs - nowMs,
        zoneWaitInMs: zoneWaitUntilMs - nowMs,
        inputsExpireInMs: inputsExpireAtMs - nowMs,
      });
      if (!isSent) {
        end(undefined);
      }
    });
  }

  /** Tells the peer that results are not needed any more. */
  free(handles: readonly string[]): boolean {
    return this.send({ kind: 'free', handles });
  }

  /** The task of the link: open, read frames, close, open again. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const { timer } = this.opts;
    while (!signal.aborted) {
      const connected = await connectSocket(this.opts);
      if (connected) {
        await this.follow(RouterSocket.create({ socket: connected }), signal);
      }
      await timer.sleep({ delayMs: REOPEN_MS, signal });
    }
  }

  private async follow(socket: RouterSocket, signal: AbortSignal): Promise<void> {
    const { timer, selfName: nodeName } = this.opts;
    const close = (): void => socket.close();
    signal.addEventListener('abort', close, { once: true });
    socket.send({ kind: 'hello', nodeName, linkVersion: LINK_VERSION });
    this.socket = socket;
    this.heardAtMs = timer.nowMs();
    this.tell('opened', 'connected');
    const cancelPing = timer.every({
      intervalMs: PING_MS,
      notify: () => this.checkSilence(socket),
    });
    for await (const frame of socket.read()) {
      this.heardAtMs = timer.nowMs();
      this.take(frame);
    }
    cancelPing();
    signal.removeEventListener('abort', close);
    this.socket = undefined;
    this.tell('lost', 'the connection ended');
    this.endOrders();
  }

  private take(frame: RouterFrame): void {
    if (frame.kind !== 'piece-end') {
      return;
    }
    const order = this.orders.get(frame.orderId);
    if (order) {
      order.settle(frame.result);
    } else if (frame.result.kind === 'made') {
      // The result crossed the cancel of its order, so nobody else frees it.
      this.free([frame.result.handle]);
    }
  }

  private checkSilence(socket: RouterSocket): void {
    const { timer } = this.opts;
    if (this.orders.size === 0) {
      this.heardAtMs = timer.nowMs();
      return;
    }
    if (timer.nowMs() - this.heardAtMs > SILENCE_LIMIT_MS) {
      socket.close();
      return;
    }
    socket.send({ kind: 'ping' });
  }

  private endOrders(): void {
    const lost = [...this.orders.values()];
    this.orders.clear();
    lost.forEach(({ settle }) => settle(undefined));
  }

  private send(frame: RouterFrame): boolean {
    return this.socket?.send(frame) ?? false;
  }

  private tell(kind: PeerEvent['kind'], detail: string): void {
    const { peerName: peer, onEvent } = this.opts;
    onEvent({ kind, peer, detail, ordersLost: kind === 'lost' ? this.orders.size : 0 });
  }
}

function connectSocket(opts: PeerRouterOptions): Promise<Socket | undefined> {
  const [host = '', port = ''] = opts.address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    const cancelLimit = opts.timer.after({
      delayMs: CONNECT_LIMIT_MS,
      notify: () => socket.destroy(new Error('no connection in time')),
    });
    socket.once('connect', () => {
      cancelLimit();
      socket.removeAllListeners('error');
      resolve(socket);
    });
    socket.once('error', () => {
      cancelLimit();
      resolve(undefined);
    });
  });
}
