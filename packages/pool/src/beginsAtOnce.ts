import type { BatchLimits } from '@galenatiller/types';

/** How a batch call ended for the worker; `none` before the first one. */
export type BatchOutcome = 'none' | 'done' | 'refused' | 'failed';

/** What is known of a worker when a batch call is sent to it. */
export interface BeginsAtOnceOptions {
  /** Number of nodes that may send calls to the worker. */
  readonly senders: number;
  /** How the last batch call of this node to the worker ended. */
  readonly lastOutcome: BatchOutcome;
  /** Whether the worker takes much longer than expected. */
  readonly isSlow: boolean;
  readonly limits: BatchLimits;
  /** Memory for results that is left after those of the call. */
  readonly leftBytes: number;
}

/**
 * Share of the memory that must be left: sizes of results are approximate, and a piece that finds no room
 * needs its inputs again.
 */
const LEFT_SHARE = 0.05;

/**
 * Whether a batch call surely begins when it arrives, and will not run its pieces again for lack of room: the
 * worker has no call of another node, and none left that this node has given up.
 */
export function beginsAtOnce(opts: BeginsAtOnceOptions): boolean {
  return (
    opts.senders === 1 &&
    opts.lastOutcome === 'done' &&
    !opts.isSlow &&
    opts.leftBytes >= LEFT_SHARE * opts.limits.resultMemoryBytes
  );
}
