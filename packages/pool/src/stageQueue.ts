import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, RegisteredTarget, PieceResult, StagePiece } from '@galenatiller/types';

import { choosePieces } from './choosePieces.js';
import { findInfeasible, type StageThroughput } from './findInfeasible.js';
import type { ComparePieces, QueuedPiece } from './queuedPiece.js';

/** Options of {@link StageQueue.create}. */
export interface StageQueueOptions {
  readonly timer: TimerService;
  readonly compare: ComparePieces;
  readonly inputZone: FindInputZone;
  readonly throughput: () => StageThroughput;
  /** Zones in which workers of usual speed may be used. */
  readonly workerZones: () => ReadonlySet<string>;
  readonly onStageAbandoned: (event: AbandonedStageEvent) => void;
}

/** A stage of a request that was given up, as it can't be done in time. */
export interface AbandonedStageEvent {
  readonly requestId: string;
  readonly stage: number;
  readonly pieces: number;
  /** Pieces that wait in the queue. */
  readonly waiting: number;
  readonly neededMs: number;
  readonly leftMs: number;
}

/** What a worker can take in its next call. */
export interface TakeOptions {
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  /** Bytes of results that the worker has room for now. */
  readonly availableBytes: () => number;
  /** Time that a piece has to have waited before this worker takes it. */
  readonly minWaitMs: number;
  readonly signal: AbortSignal;
}

/** Where the inputs of a piece lie; empty when it has none or they are small. */
export type FindInputZone = (piece: StagePiece) => string;

interface Waiting extends QueuedPiece {
  readonly settle: (result: PieceResult) => void;
  readonly signal: AbortSignal;
}

/** A taken piece; it is settled once, or put back. */
export interface TakenPiece {
  readonly queued: QueuedPiece;
  readonly settle: (result: PieceResult) => void;
  /** Puts the piece back for another call; a worker that did not begin with it costs no try. */
  readonly requeue: (opts: { readonly countsAsAttempt: boolean }) => void;
  /** Aborts when nobody wants the result any more. */
  readonly signal: AbortSignal;
}

/** Pieces of many calls that wait for a worker of one service. */
export class StageQueue {
  private waiting: Waiting[] = [];

  /** Workers that wait for pieces, also while they are being woken. */
  private readonly idle = new Set<TakeOptions>();

  private readonly wakers = new Set<() => void>();

  private isCheckDue = false;

  private constructor(private readonly opts: StageQueueOptions) {}

  /** Makes an empty queue. */
  static create(opts: StageQueueOptions): StageQueue {
    return new StageQueue(opts);
  }

  /** Pieces that wait. */
  get length(): number {
    return this.waiting.length;
  }

  /** Waits until a worker has made the piece or failed to; `late` when the signal aborts first. */
  submit(opts: { readonly piece: StagePiece; readonly signal: AbortSignal }): Promise<PieceResult> {
    const { piece, signal } = opts;
    if (signal.aborted) {
      return Promise.resolve(LATE);
    }
    return new Promise((resolve) => {
      const settle = (result: PieceResult): void => {
        signal.removeEventListener('abort', giveUp);
        resolve(result);
      };
      const giveUp = (): void => {
        this.waiting = this.waiting.filter((one) => one.settle !== settle);
        settle(LATE);
      };
      signal.addEventListener('abort', giveUp, { once: true });
      this.add({ piece, signal, settle, queuedSinceMs: this.opts.timer.nowMs(), attempts: 0 });
    });
  }

  /** Waits for pieces and takes as many as one call holds; empty when the signal aborts. */
  async take(opts: TakeOptions): Promise<readonly TakenPiece[]> {
    this.idle.add(opts);
    try {
      while (!opts.signal.aborted) {
        const taken = this.takeNow(opts);
        if (taken.length > 0) {
          return taken;
        }
        await this.changed(opts);
      }
      return [];
    } finally {
      this.idle.delete(opts);
    }
  }

  private takeNow(opts: TakeOptions): readonly TakenPiece[] {
    const { timer, compare } = this.opts;
    const nowMs = timer.nowMs();
    const oldest = this.waiting.reduce((least, one) => Math.min(least, one.queuedSinceMs), nowMs);
    if (nowMs - oldest < opts.minWaitMs && this.waiting.length <= opts.limits.maxPieces) {
      return [];
    }
    const zones = this.opts.workerZones();
    const ordered = this.waiting
      .filter((one) => !this.hasNearerWorker(one, opts) && !this.mayWait(one, opts, zones))
      .sort((left, right) => compare({ left, right, nowMs }));
    const chosen = choosePieces({
      ordered,
      limits: opts.limits,
      availableBytes: opts.availableBytes(),
    });
    const left = new Set(chosen);
    this.waiting = this.waiting.filter((one) => !left.has(one));
    return chosen.map((one) => this.toTaken(one));
  }

  /** Whether an idle worker with room stands where the inputs of a piece lie, and this one does not. */
  private hasNearerWorker(one: Waiting, opts: TakeOptions): boolean {
    const zone = one.piece.zoneHint || this.opts.inputZone(one.piece);
    if (zone === '' || zone === opts.target.availabilityZone) {
      return false;
    }
    return [...this.idle].some(
      (other) =>
        other.target.availabilityZone === zone &&
        other.minWaitMs === 0 &&
        other.availableBytes() >= one.piece.resultBytes,
    );
  }

  /** Whether a piece has time to wait for a worker near its inputs that is busy now. */
  private mayWait(one: Waiting, opts: TakeOptions, zones: ReadonlySet<string>): boolean {
    const zone = one.piece.zoneHint;
    return (
      zone !== '' &&
      zone !== opts.target.availabilityZone &&
      zones.has(zone) &&
      this.opts.timer.nowMs() < one.piece.zoneWaitUntilMs
    );
  }

  private toTaken(one: Waiting): TakenPiece {
    return {
      queued: one,
      settle: one.settle,
      signal: one.signal,
      requeue: ({ countsAsAttempt: costsTry }) => {
        if (!one.signal.aborted) {
          this.add({ ...one, attempts: one.attempts + (costsTry ? 1 : 0) });
        }
      },
    };
  }

  private add(one: Waiting): void {
    this.waiting.push(one);
    this.wakeAll();
    this.checkSoon();
  }

  /** Looks for pieces that wait in vain, once for all that are added within a moment. */
  private checkSoon(): void {
    if (this.isCheckDue) {
      return;
    }
    this.isCheckDue = true;
    this.opts.timer.after({
      delayMs: CHECK_DELAY_MS,
      notify: () => {
        this.isCheckDue = false;
        this.giveUpUnreachable();
        if (this.waiting.length > 0) {
          this.checkSoon();
        }
      },
    });
  }

  /** The inputs of these are gone, so the stages before are done again while there is time. */
  private giveUpExpired(nowMs: number): void {
    const expired = this.waiting.filter(({ piece }) => piece.inputsExpireAtMs <= nowMs);
    this.waiting = this.waiting.filter((one) => !expired.includes(one));
    expired.forEach(({ settle }) => settle(INPUT_GONE));
  }

  private giveUpUnreachable(): void {
    const { timer, compare, throughput, onStageAbandoned: onGivenUp } = this.opts;
    const nowMs = timer.nowMs();
    this.giveUpExpired(nowMs);
    const ordered = this.waiting.toSorted((left, right) => compare({ left, right, nowMs }));
    findInfeasible({ ordered, nowMs, throughput: throughput() }).forEach((group) => {
      const { pieces, neededMs, leftMs } = group;
      const given = new Set(pieces);
      this.waiting = this.waiting.filter((one) => !given.has(one));
      const [first] = pieces;
      if (first) {
        const { requestId, stage } = first.piece;
        const waiting = this.waiting.length;
        onGivenUp({ requestId, stage, pieces: pieces.length, waiting, neededMs, leftMs });
      }
      pieces.forEach(({ settle }) => settle(BUSY));
    });
  }

  /** Resolves when a piece was added, when a waiting one grew old enough, or when the signal aborts. */
  private changed(opts: TakeOptions): Promise<void> {
    const { timer } = this.opts;
    return new Promise((resolve) => {
      // Pieces that wait now may be old enough, or find room as results expire, without a signal.
      const delayMs = Math.min(opts.minWaitMs || RECHECK_MS, RECHECK_MS, this.zoneWaitMs());
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

  /** Time until the first piece stops waiting for a worker near its inputs. */
  private zoneWaitMs(): number {
    const nowMs = this.opts.timer.nowMs();
    return this.waiting
      .map(({ piece }) => piece.zoneWaitUntilMs - nowMs)
      .filter((leftMs) => leftMs > 0)
      .reduce((least, leftMs) => Math.min(least, Math.ceil(leftMs)), Infinity);
  }

  private wakeAll(): void {
    [...this.wakers].forEach((wake) => wake());
  }

  /** Wakes the tasks of workers whose room has changed. */
  wakeWorkers(): void {
    this.wakeAll();
  }
}

/** Results expire seconds after they were made, so this adds little to the wait for room. */
const RECHECK_MS = 200;

/** A fifth of the shortest call, and far less than the time that a caller notices. */
const CHECK_DELAY_MS = 40;

const INPUT_GONE: PieceResult = { kind: 'failed', reason: 'input-gone' };

const BUSY: PieceResult = { kind: 'failed', reason: 'busy' };

const LATE: PieceResult = { kind: 'failed', reason: 'late' };
