import type { RelayRequest, RelayResponse } from '@galenatiller/store';
import type { Cancel, TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  LoadUpdate,
  PieceResult,
  PriorityWait,
  RolloutDecision,
  RolloutEvidence,
  UsageUpdate,
} from '@galenatiller/types';

import { openSocket } from './openSocket.js';
import { PieceOrders, type ShardPiece } from './pieceOrders.js';
import { PingTicker } from './pingTicker.js';
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
  /** Calls a function whenever a ping may be due; by a timer of the link itself if omitted. */
  readonly startPings?: (check: () => void) => Cancel;
}

/** Version of the frames; a router closes links from routers of another version. */
export const LINK_VERSION = 7;

/**
 * Pings without any frame from the peer after which it gets no further pieces for now: it has more
 * work than CPU time, or is gone.
 */
const SLOW_AFTER_PINGS = 3;

/**
 * Pings without any frame after which the peer counts as gone. An overloaded peer still responds
 * within this time; one whose process has ended resets the connection at once.
 */
const LOST_AFTER_PINGS = 6;

/** A pong says nothing about the peer any more after this time. */
const PONG_LIFETIME_MS = 1_000;

const REOPEN_DELAY_MS = 300;

/** The link to another router, and the orders sent over it that wait for a result. */
export class PeerRouter {
  private socket: RouterSocket | undefined;

  private readonly orders: PieceOrders;

  private nextRequestId = 1;

  /** Reads of the peer's copy of the store that wait for a response. */
  private readonly reads = new Map<number, (response: RelayResponse | undefined) => void>();

  /** Requests for permits that wait for a response. */
  private readonly permits = new Map<number, (isGranted: boolean) => void>();

  private unansweredPings = 0;

  /** Whether the last link was closed for silence and the peer has sent nothing since. */
  private isSilent = false;

  private maxPieces = Infinity;

  private lastPongAtMs = -Infinity;

  private readonly startPings: (check: () => void) => Cancel;

  private constructor(private readonly opts: PeerRouterOptions) {
    const { timer } = opts;
    const ticker = PingTicker.create(opts);
    this.startPings = opts.startPings ?? ((check) => ticker.start(check));
    this.orders = PieceOrders.create({ timer, send: (frame) => this.send(frame) });
  }

  /** Creates a peer whose link is not open yet. */
  static create(opts: PeerRouterOptions): PeerRouter {
    return new PeerRouter(opts);
  }

  /** Name of the peer. */
  get name(): string {
    return this.opts.peerName;
  }

  /** Whether frames can be sent now. */
  get isOpen(): boolean {
    return this.socket?.isWritable ?? false;
  }

  /** Whether the peer accepts one more piece, as far as is known. */
  get canAccept(): boolean {
    const isReportFresh = this.opts.timer.nowMs() - this.lastPongAtMs < PONG_LIFETIME_MS;
    const maxPieces = isReportFresh ? this.maxPieces : Infinity;
    const isResponsive = !this.isSilent && this.unansweredPings < SLOW_AFTER_PINGS;
    return this.isOpen && isResponsive && this.orders.size < maxPieces;
  }

  /** Time that a piece waits for a worker of a shard at the peer; 0 without a recent report. */
  waitMs(shard: string): number {
    return this.orders.waitMs(shard);
  }

  /** Waits for the workers of a shard at the peer, by priority; empty without a recent report. */
  waits(shard: string): readonly PriorityWait[] {
    return this.orders.waits(shard);
  }

  /** Has the peer run a piece; resolves to undefined when the link is lost before the piece ends. */
  submitPiece(opts: ShardPiece): Promise<PieceResult | undefined> {
    return this.isOpen ? this.orders.submit(opts) : Promise.resolve(undefined);
  }

  /** Asks the peer for what it has read from the store; undefined if it doesn't respond. */
  read(opts: {
    readonly request: RelayRequest;
    readonly signal: AbortSignal;
  }): Promise<RelayResponse | undefined> {
    const { request, signal } = opts;
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      const end = (response: RelayResponse | undefined): void => {
        this.reads.delete(requestId);
        signal.removeEventListener('abort', abandon);
        resolve(response);
      };
      const abandon = (): void => end(undefined);
      signal.addEventListener('abort', abandon, { once: true });
      this.reads.set(requestId, end);
      if (signal.aborted || !this.send({ kind: 'read-request', requestId, request })) {
        end(undefined);
      }
    });
  }

  /** Asks the peer for one more send to a target; false also if it doesn't respond in time. */
  requestPermit(opts: {
    readonly service: string;
    readonly address: string;
    readonly signal: AbortSignal;
  }): Promise<boolean> {
    const { service, address, signal } = opts;
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      const end = (isGranted: boolean): void => {
        this.permits.delete(requestId);
        signal.removeEventListener('abort', abandon);
        resolve(isGranted);
      };
      const abandon = (): void => end(false);
      signal.addEventListener('abort', abandon, { once: true });
      this.permits.set(requestId, end);
      if (signal.aborted || !this.send({ kind: 'permit-request', requestId, service, address })) {
        end(false);
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

  /** Sends counts of requests; false when there is no open link. */
  sendUsage(update: UsageUpdate): boolean {
    return this.send({ kind: 'usage-counts', update });
  }

  /** Sends how busy workers are, if the link is open. */
  sendLoad(update: LoadUpdate): void {
    this.send({ kind: 'service-load', update });
  }

  /** The task of the link: opens it, reads frames until it ends, and opens it again. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const { timer } = this.opts;
    while (!signal.aborted) {
      const connected = await openSocket(this.opts);
      if (connected && signal.aborted) {
        connected.destroy();
        return;
      }
      if (connected) {
        await this.serveSocket(RouterSocket.create({ socket: connected }), signal);
      }
      await timer.sleep({ delayMs: REOPEN_DELAY_MS, signal });
    }
  }

  private async serveSocket(socket: RouterSocket, signal: AbortSignal): Promise<void> {
    const { selfName: nodeName } = this.opts;
    const close = (): void => socket.close();
    signal.addEventListener('abort', close, { once: true });
    socket.send({ kind: 'hello', nodeName, linkVersion: LINK_VERSION });
    this.socket = socket;
    this.unansweredPings = 0;
    this.lastPongAtMs = -Infinity;
    this.notify('opened', 'connected');
    const { startPings } = this;
    const cancelPing = startPings(() => this.checkSilence(socket));
    for await (const frame of socket.read()) {
      this.unansweredPings = 0;
      this.isSilent = false;
      this.handleFrame(frame);
    }
    cancelPing();
    signal.removeEventListener('abort', close);
    this.socket = undefined;
    this.notify('lost', 'the connection ended');
    this.failRequests();
  }

  private handleFrame(frame: RouterFrame): void {
    if (frame.kind === 'pong') {
      this.maxPieces = frame.maxPieces;
      this.lastPongAtMs = this.opts.timer.nowMs();
    }
    if (frame.kind === 'read-response') {
      this.reads.get(frame.requestId)?.(frame.response);
    }
    if (frame.kind === 'permit-response') {
      this.permits.get(frame.requestId)?.(frame.isGranted);
    }
    if (frame.kind === 'pieces-begun') {
      this.orders.begin(frame.orderIds);
    }
    if (frame.kind === 'piece-end' && !this.orders.end(frame) && frame.result.kind === 'made') {
      // The result was sent before the cancellation of its order arrived, so nothing else frees it.
      this.free([frame.result.handle]);
    }
  }

  /**
   * Counts pings rather than time: when this router itself was held up, frames of the peer may wait
   * unread in the meantime.
   */
  private checkSilence(socket: RouterSocket): void {
    if (this.orders.size === 0 && !this.isSilent) {
      this.unansweredPings = 0;
      return;
    }
    if (this.unansweredPings >= LOST_AFTER_PINGS) {
      this.isSilent = true;
      socket.close();
      return;
    }
    this.unansweredPings += 1;
    socket.send({ kind: 'ping' });
  }

  private failRequests(): void {
    this.orders.endAll();
    [...this.reads.values()].forEach((end) => end(undefined));
    [...this.permits.values()].forEach((end) => end(false));
  }

  private send(frame: RouterFrame): boolean {
    return this.socket?.send(frame) ?? false;
  }

  private notify(kind: PeerEvent['kind'], detail: string): void {
    const { peerName: peer, onEvent } = this.opts;
    onEvent({ kind, peer, detail, ordersLost: kind === 'lost' ? this.orders.size : 0 });
  }
}
