import type { TimerService } from '@galenatiller/timer';
import type { PieceResult, PieceUrgency, PriorityWait, StagePiece } from '@galenatiller/types';

import type { OrderedPiece, OrderedUrgency, PieceEndFrame, RouterFrame } from './routerFrames.js';

/** A piece and the shard whose workers should run it. */
export interface ShardPiece {
  readonly service: string;
  readonly shard: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  /** Called once a worker has surely fetched the inputs of the piece; may never be called. */
  readonly onBegun?: (() => void) | undefined;
}

interface PendingOrder {
  readonly shard: string;
  readonly onBegun: (() => void) | undefined;
  /** Called with undefined when the link is lost. */
  readonly settle: (result: PieceResult | undefined) => void;
}

/** Pieces of one stage of a call, which are sent in one frame. */
interface PendingGroup extends Omit<ShardPiece, 'piece' | 'onBegun'> {
  readonly reportsBegun: boolean;
  /** Any of the pieces; the others differ in their number only. */
  readonly first: StagePiece;
  readonly pieces: OrderedPiece[];
}

interface ReportedWait {
  readonly waitMs: number;
  readonly waits: readonly PriorityWait[];
  readonly atMs: number;
}

/** Options of {@link PieceOrders.create}. */
export interface PieceOrdersOptions {
  readonly timer: TimerService;
  /** Sends a frame to the peer; false when there is no open link. */
  readonly send: (frame: RouterFrame) => boolean;
}

/** Reported waits of a peer are no longer used after this time. */
const REPORT_LIFETIME_MS = 1_000;

/** The pieces that a peer was ordered to run and that wait for a result. */
export class PieceOrders {
  private nextOrderId = 1;

  private readonly orders = new Map<number, PendingOrder>();

  /** Pieces of this turn of the event loop. */
  private pendingGroups: PendingGroup[] = [];

  private pendingCancels: number[] = [];

  private isFlushScheduled = false;

  private readonly reports = new Map<string, ReportedWait>();

  private constructor(private readonly opts: PieceOrdersOptions) {}

  /** Creates an instance without orders. */
  static create(opts: PieceOrdersOptions): PieceOrders {
    return new PieceOrders(opts);
  }

  /** Number of pieces that wait for a result. */
  get size(): number {
    return this.orders.size;
  }

  /** Time that a piece waits for a worker of a shard at the peer; 0 without a recent report. */
  waitMs(shard: string): number {
    return this.findFresh(shard)?.waitMs ?? 0;
  }

  /** Waits for the workers of a shard at the peer, by priority; empty without a recent report. */
  waits(shard: string): readonly PriorityWait[] {
    return this.findFresh(shard)?.waits ?? [];
  }

  private findFresh(shard: string): ReportedWait | undefined {
    const report = this.reports.get(shard);
    const isFresh = report && this.opts.timer.nowMs() - report.atMs < REPORT_LIFETIME_MS;
    return isFresh ? report : undefined;
  }

  /** Orders a piece; resolves to undefined when the link is lost before the piece ends. */
  submit(opts: ShardPiece): Promise<PieceResult | undefined> {
    const { shard, signal, onBegun } = opts;
    const orderId = this.nextOrderId;
    this.nextOrderId += 1;
    return new Promise((resolve) => {
      const cancel = (): void => {
        this.pendingCancels.push(orderId);
        this.scheduleFlush();
        end({ kind: 'failed', reason: 'late' });
      };
      const end = (result: PieceResult | undefined): void => {
        this.orders.delete(orderId);
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      signal.addEventListener('abort', cancel, { once: true });
      this.orders.set(orderId, { shard, onBegun, settle: end });
      this.addToGroup(opts, orderId);
    });
  }

  /** Takes the result of a piece; false if its order was cancelled before. */
  end({ orderId, result, waitMs, waits = [] }: PieceEndFrame): boolean {
    const order = this.orders.get(orderId);
    if (!order) {
      return false;
    }
    this.reports.set(order.shard, { waitMs, waits, atMs: this.opts.timer.nowMs() });
    order.settle(result);
    return true;
  }

  /** Notes that workers have fetched the inputs of pieces. */
  begin(orderIds: readonly number[]): void {
    orderIds.forEach((orderId) => this.orders.get(orderId)?.onBegun?.());
  }

  /** Ends all orders without a result, since the link is lost. */
  endAll(): void {
    [...this.orders.values()].forEach(({ settle }) => settle(undefined));
  }

  private addToGroup(opts: ShardPiece, orderId: number): void {
    const { piece, onBegun, ...common } = opts;
    const reportsBegun = onBegun !== undefined;
    const ordered = { orderId, piece: piece.piece };
    const group = this.pendingGroups.find(
      ({ signal, shard, first }) =>
        signal === opts.signal &&
        shard === opts.shard &&
        first.requestId === piece.requestId &&
        first.stage === piece.stage,
    );
    if (group) {
      group.pieces.push(ordered);
    } else {
      this.pendingGroups.push({ ...common, reportsBegun, first: piece, pieces: [ordered] });
    }
    this.scheduleFlush();
  }

  /** Sends what this turn of the event loop submits and cancels, at its end. */
  private scheduleFlush(): void {
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      queueMicrotask(() => {
        this.isFlushScheduled = false;
        this.flush();
      });
    }
  }

  private flush(): void {
    const groups = this.pendingGroups;
    const orderIds = this.pendingCancels;
    this.pendingGroups = [];
    this.pendingCancels = [];
    groups.forEach((group) => this.sendGroup(group));
    if (orderIds.length > 0) {
      this.opts.send({ kind: 'piece-cancel', orderIds });
    }
  }

  private sendGroup(group: PendingGroup): void {
    const { service, shard, first, pieces, reportsBegun } = group;
    const nowMs = this.opts.timer.nowMs();
    const { requestId, stage, key, inputs, resultBytes, zoneHint, priority } = first;
    const isSent = this.opts.send({
      kind: 'piece-order',
      pieces,
      service,
      shard,
      requestId,
      stage,
      key,
      inputs,
      resultBytes,
      zoneHint,
      priority,
      deadlineInMs: first.deadlineAtMs - nowMs,
      dueInMs: first.dueAtMs - nowMs,
      zoneWaitInMs: first.zoneWaitUntilMs - nowMs,
      inputsExpireInMs: first.inputsExpireAtMs - nowMs,
      ...(reportsBegun ? { reportsBegun } : {}),
      ...(first.fingerprint !== undefined && { fingerprint: first.fingerprint }),
      ...(first.urgency && { urgency: encodeUrgency(first.urgency, nowMs) }),
    });
    if (!isSent) {
      pieces.forEach(({ orderId }) => this.orders.get(orderId)?.settle(undefined));
    }
  }
}

function encodeUrgency(urgency: PieceUrgency, nowMs: number): OrderedUrgency {
  const { latestStartAtMs, ...rest } = urgency;
  return { ...rest, latestStartInMs: latestStartAtMs - nowMs };
}
