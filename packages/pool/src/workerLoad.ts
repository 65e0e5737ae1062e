import type { BatchLimits, ExpectedLoad } from '@galenatiller/types';

/** Finds what a worker has stated; undefined if it has stated nothing lately. */
export type FindWorkerLoad = () => ExpectedLoad | undefined;

/** What the choice among workers that state how long work takes on them needs to know of one of them. */
export interface UnevenWorker {
  readonly findLoad: FindWorkerLoad;
  /** Whether the worker may get new work. */
  readonly isUsable: () => boolean;
  /** Number of nodes that may send pieces to the worker together with this one. */
  readonly senders: () => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Up to this relative duration, a worker that states it is of normal speed; see `WorkerSpeed`. */
const MAX_NORMAL_DURATION = 2.2;

/**
 * Time-outs grow up to this multiple only: a call that takes longer ends after the deadline of its pieces,
 * and blocks their retries until then.
 */
const MAX_TIMEOUT_DURATION = 10;

/** Whether a worker states that it is much slower than usual. */
export function isStatedSlow(load: ExpectedLoad | undefined): boolean {
  return load !== undefined && load.relativeDuration > MAX_NORMAL_DURATION;
}

/** Factor on the expected duration of a batch call; 1 for a worker that states nothing. */
export function toDurationFactor(load: ExpectedLoad | undefined): number {
  return Math.min(MAX_TIMEOUT_DURATION, Math.max(1, load?.relativeDuration ?? 1));
}

/** Time in which a batch call to an idle worker would end, behind the calls of other nodes. */
export function expectCallMs(opts: {
  readonly load: ExpectedLoad | undefined;
  readonly slots: number;
  readonly limits: BatchLimits;
  readonly pieces: number;
}): number {
  const { load, slots, limits, pieces } = opts;
  const { callOverheadMs, pieceMs, maxPieces } = limits;
  const callsAhead = (load?.otherRequests ?? 0) / Math.max(1, slots);
  const aheadMs = callsAhead * (callOverheadMs + pieceMs * maxPieces);
  return (load?.relativeDuration ?? 1) * (aheadMs + callOverheadMs + pieceMs * pieces);
}
