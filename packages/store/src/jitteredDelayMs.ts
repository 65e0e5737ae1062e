/** Options of {@link jitteredDelayMs}. */
export interface JitteredDelayOptions {
  /** Number of failed attempts so far. */
  readonly failures: number;
  readonly baseMs: number;
  readonly maxMs: number;
  /** Returns a uniform random number from 0 to 1. */
  readonly random: () => number;
}

/**
 * Exponential backoff with full jitter, so that nodes that failed together retry at different
 * times.
 */
export function jitteredDelayMs(opts: JitteredDelayOptions): number {
  const backoffMs = Math.min(opts.maxMs, opts.baseMs * 2 ** opts.failures);
  return Math.ceil(backoffMs * opts.random());
}
