/** Options of {@link computeTimeLimitMs}. */
export interface TimeLimitOptions {
  readonly nowMs: number;
  /** Monotonic time by which the caller must have its final response. */
  readonly deadlineAtMs: number;
  /** How late timers of this process fire at present. */
  readonly loopLagMs: number;
}

/** Extra time for a response that is ready at the deadline; callers still count it as in time. */
const RESPONSE_GRACE_MS = 60;

/** The most of the time left that is given up because timers fire late. */
const MAX_LAG_SHARE = 0.5;

/**
 * Computes after which time a call is ended. The timer that ends it fires as late as others do, so it is armed
 * by that much earlier; its caller must have an answer by the deadline however far the event loop lags.
 */
export function computeTimeLimitMs(opts: TimeLimitOptions): number {
  const { nowMs, deadlineAtMs, loopLagMs } = opts;
  const leftMs = Math.max(0, deadlineAtMs + RESPONSE_GRACE_MS - nowMs);
  return leftMs - Math.min(loopLagMs, leftMs * MAX_LAG_SHARE);
}
