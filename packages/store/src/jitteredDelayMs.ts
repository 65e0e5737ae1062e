/** Options of {@link jitteredDelayMs}. */
export interface JitteredDelayOptions {
  /** Failed tries so far, from 0. */
  readonly failures: number;
  readonly baseMs: number;
  readonly capMs: number;
  /** Uniform number from 0 to 1. */
  readonly random: () => number;
}

/** A uniform share of an exponential delay, so that nodes that failed together come back apart. */
export function jitteredDelayMs(opts: JitteredDelayOptions): number {
  const spanMs = Math.min(opts.capMs, opts.baseMs * 2 ** opts.failures);
  return Math.ceil(spanMs * opts.random());
}
