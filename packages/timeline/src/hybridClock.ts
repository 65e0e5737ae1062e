import type { TimerService } from '@galenatiller/timer';
import type { HybridTimestamp } from '@galenatiller/types';

import { compareTimestamps } from './compareTimestamps.js';

/** Maximum time by which a timestamp of another node may be ahead of the local wall clock. */
export const MAX_CLOCK_DRIFT_MS = 60_000;

/**
 * A hybrid logical clock: its timestamps increase, respect causality and stay close to the wall
 * clock.
 */
export class HybridClock {
  private last: HybridTimestamp = { wallMs: 0, counter: 0 };

  private constructor(private readonly timer: TimerService) {}

  /** Creates a clock on a timer service. */
  static create(opts: { readonly timer: TimerService }): HybridClock {
    return new HybridClock(opts.timer);
  }

  /** Returns a new timestamp, later than all earlier and all merged ones. */
  now(): HybridTimestamp {
    const wallMs = this.wallMs();
    this.last =
      wallMs > this.last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
    return this.last;
  }

  /**
   * Merges a timestamp received with a message, so that later timestamps follow it.
   * A timestamp beyond the drift limit is ignored, so that one wrong wall clock does not advance the
   * clocks of all nodes.
   */
  merge(received: HybridTimestamp): void {
    const isWithinDrift = received.wallMs <= this.wallMs() + MAX_CLOCK_DRIFT_MS;
    if (isWithinDrift && compareTimestamps(received, this.last) > 0) {
      this.last = received;
    }
  }

  private wallMs(): number {
    return Math.floor(this.timer.wallMs());
  }
}
