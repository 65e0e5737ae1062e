import { isSizeExempt, OrganisationUsage } from '@galenatiller/scheduling';
import type { TimerService } from '@galenatiller/timer';
import type { PieceResult, PriorityWait, StagePiece } from '@galenatiller/types';

import { choosePieces } from './choosePieces.js';
import { findIdleZones } from './findIdleZones.js';
import { findInfeasible } from './findInfeasible.js';
import { PieceWaits } from './pieceWaits.js';
import type { WaitingPiece } from './leaveToFaster.js';
import { limitCallSize } from './limitCallSize.js';
import { isolateSuspects, NO_SUSPECTS, type PieceSuspects } from './pieceSuspects.js';
import type { OrderPieces, QueuedPiece } from './queuedPiece.js';
import type { StageThroughput } from './stageThroughput.js';
import type { TakenPiece, TakeOptions } from './takeOptions.js';
import { WorkerRoster } from './workerRoster.js';

/** Options of {@link StageQueue.create}. */
export interface StageQueueOptions {
  readonly timer: TimerService;
  readonly order: OrderPieces;
  readonly inputZone: FindInputZone;
  readonly throughput: () => StageThroughput;
  /** Zones that have a usable worker of normal speed. */
  readonly workerZones: () => ReadonlySet<string>;
  readonly onStageAbandoned: (event: AbandonedStageEvent) => void;
  /** Whether a piece may crash the worker that runs it, so that it gets a batch call of its own. */
  readonly isSuspect?: PieceSuspects['isSuspect'];
  /** Called when a worker takes a piece of a call that can't be on time. */
  readonly onDelayedTaken?: (piece: StagePiece) => void;
  /**
   * Called when a worker that states that it is slow leaves all pieces to faster ones, or takes fewer, so that
   * its call ends in time.
   */
  readonly onUneven?: (event: UnevenEvent) => void;
}

/** What a worker that states that it is slow did instead of taking a full call. */
export type UnevenEvent = 'deferred' | 'shortened';

/** A stage of a request that was abandoned, because it can't finish before its deadline. */
export interface AbandonedStageEvent {
  readonly requestId: string;
  readonly stage: number;
  readonly priority: number;
  /** Organisation of the call; empty when that is not known. */
  readonly organisation: string;
  readonly pieces: number;
  /** Pieces that are still in the queue. */
  readonly waiting: number;
  /** Estimated time until the last of the abandoned pieces would have finished. */
  readonly neededMs: number;
  /** Time until the earliest deadline among them. */
  readonly leftMs: number;
}

/** Finds the zone that keeps the inputs of a piece; empty when it has none or they are small. */
export type FindInputZone = (piece: StagePiece) => string;

interface PendingPiece extends QueuedPiece, WaitingPiece {
  readonly piece: StagePiece;
  /** Called with undefined when the piece is handed back. */
  readonly settle: (result: PieceResult | undefined) => void;
  readonly onBegun: (() => void) | undefined;
  readonly signal: AbortSignal;
}

/** Queue of the pieces of many calls for the workers of one service. */
export class StageQueue {
  private waiting: PendingPiece[] = [];

  /** Workers that wait for pieces, including those that are being woken. */
  private readonly idleWorkers = new Set<TakeOptions>();

  private readonly wakers = new Set<() => void>();

  private readonly roster = WorkerRoster.create();

  private readonly usage = OrganisationUsage.create();

  private readonly pieceWaits = PieceWaits.create();

  private isCheckScheduled = false;

  private constructor(private readonly opts: StageQueueOptions) {}

  /** Creates an empty queue. */
  static create(opts: StageQueueOptions): StageQueue {
    return new StageQueue(opts);
  }

  /** Number of queued pieces. */
  get length(): number {
    return this.waiting.length;
  }

  /** How long new pieces have to expect to wait, for the priorities that wait for long. */
  get waits(): readonly PriorityWait[] {
    return this.waiting.length > 0 ? this.pieceWaits.current : [];
  }

  /**
   * Waits until a worker has run the piece or failed to; fails as `late` if the signal aborts first, and
   * resolves to undefined if the piece is handed back before a worker takes it.
   */
  submit(opts: {
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
    /** Called once a worker has surely fetched the inputs of the piece; may never be called. */
    readonly onBegun?: (() => void) | undefined;
  }): Promise<PieceResult | undefined> {
    const { piece, signal, onBegun } = opts;
    if (signal.aborted) {
      return Promise.resolve(LATE);
    }
    return new Promise((resolve) => {
      const settle = (result: PieceResult | undefined): void => {
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      const cancel = (): void => {
        this.waiting = this.waiting.filter((pending) => pending.settle !== settle);
        settle(LATE);
      };
      signal.addEventListener('abort', cancel, { once: true });
      this.add({
        piece,
        groupKey: `${piece.requestId} ${piece.stage}`,
        isSizeExempt: isSizeExempt(piece.requestId),
        preferredZone: piece.zoneHint || this.opts.inputZone(piece),
        signal,
        settle,
        onBegun,
        queuedSinceMs: this.opts.timer.nowMs(),
        attempts: 0,
      });
    });
  }

  /** Waits for pieces and takes as many as fit in one batch call; empty when the signal aborts. */
  async take(opts: TakeOptions): Promise<readonly TakenPiece[]> {
    const { timer } = this.opts;
    this.idleWorkers.add(opts);
    this.roster.recordIdle(opts, timer.nowMs());
    let taken: readonly TakenPiece[] = [];
    try {
      while (!opts.signal.aborted && taken.length === 0) {
        taken = this.takeNow(opts);
        if (taken.length === 0) {
          await this.waitForChange(opts);
        }
      }
      return taken;
    } finally {
      this.idleWorkers.delete(opts);
      this.roster.recordTaken(opts, taken.length, timer.nowMs());
    }
  }

  private takeNow(opts: TakeOptions): readonly TakenPiece[] {
    const { timer, order } = this.opts;
    const nowMs = timer.nowMs();
    if (this.waiting.length === 0) {
      return [];
    }
    const oldestSinceMs = this.waiting.reduce(
      (oldestMs, pending) => Math.min(oldestMs, pending.queuedSinceMs),
      nowMs,
    );
    if (nowMs - oldestSinceMs < opts.minWaitMs && this.waiting.length <= opts.limits.maxPieces) {
      return [];
    }
    const availableBytes = opts.availableBytes();
    if (this.waiting.every(({ piece }) => piece.resultBytes > availableBytes)) {
      return [];
    }
    const pieces = this.findTakeable(opts, nowMs);
    const { usage } = this;
    const throughput = this.opts.throughput();
    const { ordered, onTimeCount } = order({ pieces, nowMs, throughput, usage });
    const left = this.roster.leaveToFaster(opts, ordered, nowMs);
    const limits = limitCallSize({ ...opts, ordered: left, nowMs });
    const chosen = isolateSuspects(
      choosePieces({ ordered: left, limits, availableBytes }),
      this.opts.isSuspect ?? NO_SUSPECTS.isSuspect,
    );
    if (left.length === 0 && ordered.length > 0) {
      this.opts.onUneven?.('deferred');
    }
    if (limits.maxPieces < opts.limits.maxPieces && chosen.length > 0) {
      this.opts.onUneven?.('shortened');
    }
    this.recordUsage(chosen, nowMs, throughput);
    const delayed = new Set(ordered.slice(onTimeCount));
    this.pieceWaits.recordTaken(
      chosen.filter((pending) => !delayed.has(pending)),
      nowMs,
    );
    chosen
      .filter((pending) => delayed.has(pending))
      .forEach(({ piece }) => this.opts.onDelayedTaken?.(piece));
    const taken = new Set(chosen);
    this.waiting = this.waiting.filter((pending) => !taken.has(pending));
    return chosen.map((pending) => this.toTaken(pending));
  }

  private recordUsage(
    chosen: readonly QueuedPiece[],
    nowMs: number,
    { piecesPerMs }: StageThroughput,
  ): void {
    chosen.forEach(({ piece }) => {
      const { priority, urgency } = piece;
      const holder = { priority, organisation: urgency?.organisation ?? '' };
      this.usage.record({ holder, nowMs, costMs: piecesPerMs > 0 ? 1 / piecesPerMs : 0 });
    });
  }

  /** Pieces that a worker may take, since they don't wait for one in the zone that they prefer. */
  private findTakeable({ target }: TakeOptions, nowMs: number): PendingPiece[] {
    const ownZone = target.availabilityZone;
    const idleBytes = findIdleZones(this.idleWorkers);
    const zones = this.opts.workerZones();
    return this.waiting.filter(({ piece, preferredZone }) => {
      if (preferredZone === '' || preferredZone === ownZone) {
        return true;
      }
      const hasIdleWorker = (idleBytes.get(preferredZone) ?? -1) >= piece.resultBytes;
      const canWait =
        piece.zoneHint !== '' && zones.has(piece.zoneHint) && nowMs < piece.zoneWaitUntilMs;
      return !hasIdleWorker && !canWait;
    });
  }

  private toTaken(pending: PendingPiece): TakenPiece {
    return {
      queued: pending,
      settle: pending.settle,
      signal: pending.signal,
      onBegun: pending.onBegun,
      requeue: ({ countsAsAttempt }) => {
        if (!pending.signal.aborted) {
          this.add({ ...pending, attempts: pending.attempts + (countsAsAttempt ? 1 : 0) });
        }
      },
    };
  }

  private add(pending: PendingPiece): void {
    this.waiting.push(pending);
    this.wakeAll();
    this.scheduleCheck();
  }

  /**
   * Schedules a check for pieces that can't finish in time; one check covers all pieces added
   * meanwhile.
   */
  private scheduleCheck(): void {
    if (this.isCheckScheduled) {
      return;
    }
    this.isCheckScheduled = true;
    this.opts.timer.after({
      delayMs: CHECK_DELAY_MS,
      notify: () => {
        this.isCheckScheduled = false;
        this.abandonInfeasible();
        if (this.waiting.length > 0) {
          this.scheduleCheck();
        }
      },
    });
  }

  /**
   * Fails pieces whose inputs have expired, so that the earlier stages run again while there is
   * time.
   */
  private failExpired(nowMs: number): void {
    const expired = this.waiting.filter(({ piece }) => piece.inputsExpireAtMs <= nowMs);
    this.waiting = this.waiting.filter((pending) => !expired.includes(pending));
    expired.forEach(({ settle }) => settle(INPUT_GONE));
  }

  /** Abandons groups of pieces that can't meet their deadline. */
  private abandonInfeasible(): void {
    const { timer, order, onStageAbandoned } = this.opts;
    const nowMs = timer.nowMs();
    this.failExpired(nowMs);
    const throughput = this.opts.throughput();
    const { ordered, onTimeCount } = order({
      pieces: this.waiting,
      nowMs,
      throughput,
      usage: this.usage,
    });
    this.pieceWaits.update({ ordered, onTimeCount, nowMs });
    findInfeasible({ ordered, nowMs, throughput }).forEach((group) => {
      const { pieces, neededMs, leftMs } = group;
      const abandoned = new Set(pieces);
      this.waiting = this.waiting.filter((pending) => !abandoned.has(pending));
      const [first] = pieces;
      if (first) {
        const { requestId, stage, priority, urgency: { organisation = '' } = {} } = first.piece;
        const waiting = this.waiting.length;
        onStageAbandoned({
          requestId,
          stage,
          priority,
          organisation,
          pieces: pieces.length,
          waiting,
          neededMs,
          leftMs,
        });
      }
      pieces.forEach(({ settle }) => settle(BUSY));
    });
  }

  /**
   * Resolves when a piece was added, when a queued piece may have become takeable, or when the
   * signal aborts.
   */
  private waitForChange(opts: TakeOptions): Promise<void> {
    const { timer } = this.opts;
    return new Promise((resolve) => {
      // No event announces that a queued piece is old enough, or that expired results freed memory.
      const delayMs = Math.min(
        opts.minWaitMs || RECHECK_INTERVAL_MS,
        RECHECK_INTERVAL_MS,
        this.nextZoneWaitEndsInMs(),
      );
      const cancel = this.waiting.length > 0 ? timer.after({ delayMs, notify: finish }) : () => {};
      this.wakers.add(finish);
      opts.signal.addEventListener('abort', finish, { once: true });
      const { wakers } = this;
      function finish(): void {
        cancel();
        wakers.delete(finish);
        opts.signal.removeEventListener('abort', finish);
        resolve();
      }
    });
  }

  /** Time until the first piece stops waiting for a worker in its preferred zone. */
  private nextZoneWaitEndsInMs(): number {
    const nowMs = this.opts.timer.nowMs();
    return this.waiting
      .map(({ piece }) => piece.zoneWaitUntilMs - nowMs)
      .filter((leftMs) => leftMs > 0)
      .reduce((minMs, leftMs) => Math.min(minMs, Math.ceil(leftMs)), Infinity);
  }

  /** Hands back the pieces that no worker has taken. */
  handBack(): void {
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach(({ settle }) => settle(undefined));
  }

  private wakeAll(): void {
    [...this.wakers].forEach((wake) => wake());
  }

  /** Wakes the tasks of workers whose free result memory has changed. */
  wakeWorkers(): void {
    this.wakeAll();
  }
}

/** Results expire seconds after they were made, so this adds little to the wait for memory. */
const RECHECK_INTERVAL_MS = 200;

/** A fifth of the shortest batch call, and far less than what a caller notices. */
const CHECK_DELAY_MS = 40;

const INPUT_GONE: PieceResult = { kind: 'failed', reason: 'input-gone' };

const BUSY: PieceResult = { kind: 'failed', reason: 'busy' };

const LATE: PieceResult = { kind: 'failed', reason: 'late' };
