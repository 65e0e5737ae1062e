import type { TimerService } from '@galenatiller/timer';

/** Options of {@link SlidingWindowCounter.create}. */
export interface SlidingWindowCounterOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
}

/** Counts the events within a time window that ends now. */
export class SlidingWindowCounter {
  private readonly timesMs: number[] = [];

  private constructor(private readonly opts: SlidingWindowCounterOptions) {}

  /** Creates a counter without events. */
  static create(opts: SlidingWindowCounterOptions): SlidingWindowCounter {
    return new SlidingWindowCounter(opts);
  }

  /** Counts an event that happens now. */
  add(): void {
    this.timesMs.push(this.opts.timer.nowMs());
  }

  /** Number of events within the window. */
  count(): number {
    const sinceMs = this.opts.timer.nowMs() - this.opts.windowMs;
    while ((this.timesMs[0] ?? Infinity) <= sinceMs) {
      this.timesMs.shift();
    }
    return this.timesMs.length;
  }
}
