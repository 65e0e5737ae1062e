import type { GalenatillerError } from '@galenatiller/error';
import type { StageEnd, StageRequest } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** What a run record says about an order that may run at most once. */
export type RunClaim =
  | { readonly kind: 'first' }
  | { readonly kind: 'answered'; readonly end: StageEnd }
  | { readonly kind: 'may-have-run' }
  | { readonly kind: 'key-reused' };

/** Keeps run records; `claim` must succeed with `first` before an order is sent to its target. */
export interface RunRecordRepository {
  readonly claim: (
    order: StageRequest,
    signal: AbortSignal,
  ) => Promise<Result<RunClaim, GalenatillerError>>;
  /** Keeps how a claimed order has ended; an order that proved `not-run` may be claimed again. */
  readonly recordEnd: (order: StageRequest, end: StageEnd) => Promise<void>;
  /** The task that keeps records until the signal aborts. */
  readonly maintain: (signal: AbortSignal) => Promise<void>;
}
