import type { TimerService } from './timerService.js';

/** A reading of both clocks: the monotonic clock may stop and the wall clock may jump. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export function readClocks(timer: TimerService): ClockReading {
  return { monotonicMs: timer.nowMs(), wallMs: timer.wallMs() };
}

/**
 * Returns the time since an earlier reading. It is never too short while at most one of the clocks is
 * wrong: the monotonic clock stops while the host is suspended, and the wall clock may be set back.
 */
export function elapsedSinceMs(timer: TimerService, start: ClockReading): number {
  return Math.max(timer.nowMs() - start.monotonicMs, timer.wallMs() - start.wallMs);
}
