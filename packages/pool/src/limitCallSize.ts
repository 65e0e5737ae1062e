import type { BatchLimits } from '@galenatiller/types';

import type { QueuedPiece } from './queuedPiece.js';
import { expectCallMs, type UnevenWorker } from './workerLoad.js';

/** Options of {@link limitCallSize}. */
export interface LimitCallSizeOptions {
  /** Pieces in the order in which they should be taken. */
  readonly ordered: readonly Pick<QueuedPiece, 'piece'>[];
  readonly limits: BatchLimits;
  readonly target: { readonly slots: number };
  readonly uneven?: Pick<UnevenWorker, 'findLoad'> | undefined;
  readonly nowMs: number;
}

/** Up to this relative duration, calls keep their size: estimates of durations are no more exact. */
const MAX_EVEN_DURATION = 1.25;

/**
 * Calls keep their size while more pieces wait than fill this many of them: with all machines slow and 20 % more
 * work than they can do, smaller calls left 5 % of urgent pieces on time instead of 24 %.
 */
const MAX_QUEUED_CALLS = 2;

/**
 * Limits the pieces of a call to a slow worker, so that it still ends in time for the most urgent of them.
 * Pieces that would be late in a call of their own don't count.
 */
export function limitCallSize(opts: LimitCallSizeOptions): BatchLimits {
  const { limits, nowMs } = opts;
  const load = opts.uneven?.findLoad();
  if (
    !load ||
    load.relativeDuration <= MAX_EVEN_DURATION ||
    opts.ordered.length > limits.maxPieces * MAX_QUEUED_CALLS
  ) {
    return limits;
  }
  const { slots } = opts.target;
  const endsAtMs = (pieces: number): number =>
    nowMs + expectCallMs({ load, slots, limits, pieces });
  let latestEndAtMs = Infinity;
  let size = 0;
  for (const { piece } of opts.ordered.slice(0, limits.maxPieces)) {
    const ends = [piece.dueAtMs, piece.deadlineAtMs].filter((endAtMs) => endAtMs >= endsAtMs(1));
    latestEndAtMs = Math.min(latestEndAtMs, ...ends);
    if (endsAtMs(size + 1) > latestEndAtMs) {
      break;
    }
    size += 1;
  }
  const isWhole = size >= Math.min(opts.ordered.length, limits.maxPieces);
  return isWhole ? limits : { ...limits, maxPieces: size };
}
