import type { TimerService } from '@galenatiller/timer';

/** Options of {@link SlidingWindowCounter.create}. */
export interface SlidingWindowCounterOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
}

/** Counts what happened within a window that ends now. */
export class SlidingWindowCounter {
  private readonly times: number[] = [];

  private constructor(private readonly opts: SlidingWindowCounterOptions) {}

  /** Makes an empty count. */
  static create(opts: SlidingWindowCounterOptions): SlidingWindowCounter {
    return new SlidingWindowCounter(opts);
  }

  /** Adds one at the present moment. */
  add(): void {
    this.times.push(this.opts.timer.nowMs());
  }

  /** How many were added within the window. */
  count(): number {
    const sinceMs = this.opts.timer.nowMs() - this.opts.windowMs;
    while ((this.times[0] ?? Infinity) <= sinceMs) {
      this.times.shift();
    }
    return this.times.length;
  }
}
