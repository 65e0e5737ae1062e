import type { TimerService } from './timerService.js';

/** A moment on both clocks: the monotonic one may stand still, the wall clock may jump. */
export interface Stamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The present moment on both clocks. */
export function stampNow(timer: TimerService): Stamp {
  return { monotonicMs: timer.nowMs(), wallMs: timer.wallMs() };
}

/**
 * Time since a moment, never less than the true one while at most one of the clocks is wrong: a
 * suspended host stops the monotonic clock, and a step back takes time off the wall clock.
 */
export function elapsedSinceMs(timer: TimerService, stamp: Stamp): number {
  return Math.max(timer.nowMs() - stamp.monotonicMs, timer.wallMs() - stamp.wallMs);
}
