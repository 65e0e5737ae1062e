import type { TimerService } from '@galenatiller/timer';

/** Options of {@link SlidingCount.create}. */
export interface SlidingCountOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
}

/** Counts what happened within a window that ends now. */
export class SlidingCount {
  private readonly times: number[] = [];

  private constructor(private readonly opts: SlidingCountOptions) {}

  /** Makes an empty count. */
  static create(opts: SlidingCountOptions): SlidingCount {
    return new SlidingCount(opts);
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
