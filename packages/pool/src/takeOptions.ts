import type { BatchLimits, PieceResult, RegisteredTarget } from '@galenatiller/types';

import type { QueuedPiece } from './queuedPiece.js';
import type { UnevenWorker } from './workerLoad.js';

/** What a worker can accept in its next batch call. */
export interface TakeOptions {
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  /** Memory for results that the worker has left now. */
  readonly availableBytes: () => number;
  /** Time that a piece has to have waited before this worker takes it. */
  readonly minWaitMs: number;
  /** Set where workers may state how long work takes on them. */
  readonly uneven?: UnevenWorker | undefined;
  readonly signal: AbortSignal;
}

/** A piece taken by a worker; it is either settled once or requeued. */
export interface TakenPiece {
  readonly queued: QueuedPiece;
  readonly settle: (result: PieceResult) => void;
  /**
   * Queues the piece for another batch call; the attempt doesn't count when the worker did not start
   * it.
   */
  readonly requeue: (opts: { readonly countsAsAttempt: boolean }) => void;
  /** Says that a worker has fetched the inputs, which may be freed then; undefined where none asked. */
  readonly onBegun: (() => void) | undefined;
  /** Aborts when the result is no longer needed. */
  readonly signal: AbortSignal;
}
