import { connect, type Socket } from 'node:net';

import type { TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  PieceResult,
  RolloutDecision,
  RolloutEvidence,
  StagePiece,
} from '@galenatiller/types';

import type { RouterFrame } from './routerFrames.js';
import { RouterSocket } from './routerSocket.js';

/** A change of the state of the link to a peer. */
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

interface PendingOrder {
  /** Called with undefined when the link is lost. */
  readonly settle: (result: PieceResult | undefined) => void;
}

/** Version of the frames; a router closes links from routers of another version. */
export const LINK_VERSION = 4;

const CONNECT_TIMEOUT_MS = 400;

/** A live peer responds within a round trip and its longest pause for garbage collection. */
const SILENCE_TIMEOUT_MS = 600;

/** Interval of pings, which are sent only while orders wait for a result. */
const PING_INTERVAL_MS = 200;

const REOPEN_DELAY_MS = 300;

/** The link to another router, and the orders sent over it that wait for a result. */
export class PeerRouter {
  private socket: RouterSocket | undefined;

  private nextOrderId = 1;

  private readonly orders = new Map<number, PendingOrder>();

  private lastFrameAtMs = 0;

  private constructor(private readonly opts: PeerRouterOptions) {}

  /** Creates a peer whose link is not open yet. */
  static create(opts: PeerRouterOptions): PeerRouter {
    return new PeerRouter(opts);
  }

  /** Whether orders can be sent now. */
  get isOpen(): boolean {
    return this.socket !== undefined;
  }

  /** Has the peer run a piece; resolves to undefined when the link is lost before the piece ends. */
  submitPiece(opts: {
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
    const { deadlineAtMs, dueAtMs, zoneWaitUntilMs, inputsExpireAtMs, ...unchanged } = piece;
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
        ...unchanged,
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

  /** Tells the peer to free results; false when there is no open link. */
  free(handles: readonly string[]): boolean {
    return this.send({ kind: 'free', handles });
  }

  /** Shares evidence about calls that crash targets, if the link is open. */
  shareCrashEvidence(evidence: readonly CrashEvidence[]): void {
    if (evidence.length > 0) {
      this.send({ kind: 'crash-evidence', evidence });
    }
  }

  /** Shares which targets are leaving, if the link is open. */
  shareLeavingEvidence(evidence: readonly LeavingEvidence[]): void {
    if (evidence.length > 0) {
      this.send({ kind: 'leaving-evidence', evidence });
    }
  }

  /** Sends evidence on rollouts that the peer owns; false when there is no open link. */
  sendRolloutEvidence(evidence: readonly RolloutEvidence[]): boolean {
    return this.send({ kind: 'rollout-evidence', evidence });
  }

  /** Shares what was decided on a rollout, if the link is open. */
  shareRolloutDecision(decision: RolloutDecision): void {
    this.send({ kind: 'rollout-decision', decision });
  }

  /** The task of the link: opens it, reads frames until it ends, and opens it again. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const { timer } = this.opts;
    while (!signal.aborted) {
      const connected = await openSocket(this.opts);
      if (connected) {
        await this.serveSocket(RouterSocket.create({ socket: connected }), signal);
      }
      await timer.sleep({ delayMs: REOPEN_DELAY_MS, signal });
    }
  }

  private async serveSocket(socket: RouterSocket, signal: AbortSignal): Promise<void> {
    const { timer, selfName: nodeName } = this.opts;
    const close = (): void => socket.close();
    signal.addEventListener('abort', close, { once: true });
    socket.send({ kind: 'hello', nodeName, linkVersion: LINK_VERSION });
    this.socket = socket;
    this.lastFrameAtMs = timer.nowMs();
    this.notify('opened', 'connected');
    const cancelPing = timer.every({
      intervalMs: PING_INTERVAL_MS,
      notify: () => this.checkSilence(socket),
    });
    for await (const frame of socket.read()) {
      this.lastFrameAtMs = timer.nowMs();
      this.handleFrame(frame);
    }
    cancelPing();
    signal.removeEventListener('abort', close);
    this.socket = undefined;
    this.notify('lost', 'the connection ended');
    this.failOrders();
  }

  private handleFrame(frame: RouterFrame): void {
    if (frame.kind !== 'piece-end') {
      return;
    }
    const order = this.orders.get(frame.orderId);
    if (order) {
      order.settle(frame.result);
    } else if (frame.result.kind === 'made') {
      // The result was sent before the cancellation of its order arrived, so nothing else frees it.
      this.free([frame.result.handle]);
    }
  }

  private checkSilence(socket: RouterSocket): void {
    const { timer } = this.opts;
    if (this.orders.size === 0) {
      this.lastFrameAtMs = timer.nowMs();
      return;
    }
    if (timer.nowMs() - this.lastFrameAtMs > SILENCE_TIMEOUT_MS) {
      socket.close();
      return;
    }
    socket.send({ kind: 'ping' });
  }

  private failOrders(): void {
    const lost = [...this.orders.values()];
    this.orders.clear();
    lost.forEach(({ settle }) => settle(undefined));
  }

  private send(frame: RouterFrame): boolean {
    return this.socket?.send(frame) ?? false;
  }

  private notify(kind: PeerEvent['kind'], detail: string): void {
    const { peerName: peer, onEvent } = this.opts;
    onEvent({ kind, peer, detail, ordersLost: kind === 'lost' ? this.orders.size : 0 });
  }
}

function openSocket(opts: PeerRouterOptions): Promise<Socket | undefined> {
  const [host = '', port = ''] = opts.address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    const cancelTimeout = opts.timer.after({
      delayMs: CONNECT_TIMEOUT_MS,
      notify: () => socket.destroy(new Error('the connection timed out')),
    });
    socket.once('connect', () => {
      cancelTimeout();
      socket.removeAllListeners('error');
      resolve(socket);
    });
    socket.once('error', () => {
      cancelTimeout();
      resolve(undefined);
    });
  });
}
