/** The timer service used by all components, and a manual clock for tests. */
export type { ArmOptions, Cancel, Clock } from './clock.js';
export { ManualClock } from './manualClock.js';
export { systemClock } from './systemClock.js';
export {
  type AfterOptions,
  type EveryOptions,
  type SleepOptions,
  type ExtendableTimeLimit,
  type TimeLimit,
  TimerService,
} from './timerService.js';
export { elapsedSinceMs, type ClockReading, readClocks } from './clockReading.js';
export { type DurationSample, SmoothedDurations } from './smoothedDurations.js';
