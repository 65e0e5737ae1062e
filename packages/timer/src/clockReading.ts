import type { TimerService } from './timerService.js';

/** A moment on both clocks: the monotonic one may stand still, the wall clock may jump. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The present moment on both clocks. */
export function readClocks(timer: TimerService): ClockReading {
  return { monotonicMs: timer.nowMs(), wallMs: timer.wallMs() };
}

/**
 * Time since a moment, never less than the true one while at most one of the clocks is wrong: a
 * suspended host stops the monotonic clock, and a step back takes time off the wall clock.
 */
export function elapsedSinceMs(timer: TimerService, start: ClockReading): number {
  return Math.max(timer.nowMs() - start.monotonicMs, timer.wallMs() - start.wallMs);
}
