import type { PriorityWait } from '@galenatiller/types';

import type { OrderedPieces, QueuedPiece } from './queuedPiece.js';

interface Served {
  readonly pieces: number;
  readonly atMs: number;
}

/** Pieces that were taken longer ago count for less; a few batch calls make up the rate. */
const DECAY_MS = 1_000;

/**
 * A wait is only estimated once a piece has waited for so long. Up to about one batch call, pieces wait
 * for a worker to be free, which says nothing about the time that others need.
 */
const MIN_AGE_MS = 500;

/** Longer than any caller waits; reported when no piece of a priority is taken. */
const MAX_WAIT_MS = 60_000;

/**
 * Estimates how long new pieces of each priority wait: as long as those that can be on time and are
 * queued need at the rate at which such pieces were taken lately. While more urgent work takes all
 * workers, that rate falls to 0 for the other priorities.
 */
export class PieceWaits {
  private readonly served = new Map<number, Served>();

  private latest: readonly PriorityWait[] = [];

  private constructor() {}

  /** Creates an instance without waits. */
  static create(): PieceWaits {
    return new PieceWaits();
  }

  /** The waits at the last update, without those that are short. */
  get current(): readonly PriorityWait[] {
    return this.latest;
  }

  /** Records pieces that were taken. */
  recordTaken(pieces: readonly Pick<QueuedPiece, 'piece'>[], nowMs: number): void {
    pieces.forEach(({ piece: { priority } }) => {
      this.served.set(priority, { pieces: this.getTaken(priority, nowMs) + 1, atMs: nowMs });
    });
  }

  /** Updates the waits from what is queued. */
  update(
    opts: OrderedPieces<Pick<QueuedPiece, 'piece' | 'queuedSinceMs'>> & { readonly nowMs: number },
  ): void {
    const { ordered, onTimeCount, nowMs } = opts;
    const queued = new Map<number, { onTime: number; sinceMs: number }>();
    ordered.forEach(({ piece: { priority }, queuedSinceMs }, position) => {
      const count = queued.get(priority) ?? { onTime: 0, sinceMs: nowMs };
      queued.set(priority, count);
      count.onTime += position < onTimeCount ? 1 : 0;
      count.sinceMs = Math.min(count.sinceMs, queuedSinceMs);
    });
    this.latest = [...queued].flatMap(([priority, { onTime, sinceMs }]) => {
      const oldestMs = Math.round(nowMs - sinceMs);
      const takenPerMs = this.getTaken(priority, nowMs) / DECAY_MS;
      const waitMs = onTime === 0 ? 0 : Math.min(MAX_WAIT_MS, Math.round(onTime / takenPerMs));
      return oldestMs < MIN_AGE_MS ? [] : [{ priority, waitMs, oldestMs }];
    });
  }

  private getTaken(priority: number, nowMs: number): number {
    const served = this.served.get(priority);
    return served ? served.pieces * Math.exp((served.atMs - nowMs) / DECAY_MS) : 0;
  }
}
