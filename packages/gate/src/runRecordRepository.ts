import type { GalenatillerError } from '@galenatiller/error';
import type { StageEnd, StageRequest } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** Result of claiming a request that may run at most once. */
export type RunClaim =
  | { readonly kind: 'first' }
  | { readonly kind: 'answered'; readonly end: StageEnd }
  | { readonly kind: 'may-have-run' }
  | { readonly kind: 'key-reused' };

/**
 * Keeps run records. A request that may run at most once is sent to its target only after `claim`
 * has returned `first`.
 */
export interface RunRecordRepository {
  readonly claim: (
    request: StageRequest,
    signal: AbortSignal,
  ) => Promise<Result<RunClaim, GalenatillerError>>;
  /** Records how a claimed request ended. One that ended as `not-run` can be claimed again. */
  readonly recordEnd: (request: StageRequest, end: StageEnd) => Promise<void>;
  /** Runs the maintenance task of the records until the signal aborts. */
  readonly maintain: (signal: AbortSignal) => Promise<void>;
}
