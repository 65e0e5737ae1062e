/** Options of {@link computeRetryAfterMs}. */
export interface RetryAfterOptions {
  /** Time until the work that is in the way is done, at the rate at which it drains. */
  readonly neededMs: number;
  /** Time that the caller has left. */
  readonly leftMs: number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Callers wait for a third of the time that they have left at most. */
const MAX_SHARE = 1 / 3;

/** Retries that come sooner find the queue as it was. */
const MIN_RETRY_AFTER_MS = 200;

/** Longest extra time, which spreads the retries of callers that were refused together. */
const JITTER = 0.5;

/** Time after which a refused request should be sent again. */
export function computeRetryAfterMs(opts: RetryAfterOptions): number {
  const jitter = JITTER * opts.random();
  const wantedMs = Math.max(MIN_RETRY_AFTER_MS, opts.neededMs) * (1 + jitter);
  const maxMs = Math.max(0, opts.leftMs) * MAX_SHARE * (1 - jitter);
  return Math.floor(Math.min(wantedMs, maxMs));
}
