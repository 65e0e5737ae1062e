import type { TimerService } from '@galenatiller/timer';
import type { HybridTimestamp } from '@galenatiller/types';

import { compareTimestamps } from './compareTimestamps.js';

/** Stamps of other nodes may be ahead of the own clock by at most this, in milliseconds. */
export const MAX_CLOCK_DRIFT_MS = 60_000;

/** A hybrid logical clock: its stamps grow, follow causality and stay near the wall clock. */
export class HybridClock {
  private last: HybridTimestamp = { wallMs: 0, counter: 0 };

  private constructor(private readonly timer: TimerService) {}

  /** Makes a clock on a timer service. */
  static create(opts: { readonly timer: TimerService }): HybridClock {
    return new HybridClock(opts.timer);
  }

  /** A new stamp, later than all earlier and all merged ones. */
  now(): HybridTimestamp {
    const wallMs = this.wallMs();
    this.last =
      wallMs > this.last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
    return this.last;
  }

  /**
   * Takes note of a stamp that came with a message, so that later stamps are after it.
   * A stamp beyond the drift limit is passed over: one bad wall clock must not move the fleet's.
   */
  merge(received: HybridTimestamp): void {
    const isNear = received.wallMs <= this.wallMs() + MAX_CLOCK_DRIFT_MS;
    if (isNear && compareTimestamps(received, this.last) > 0) {
      this.last = received;
    }
  }

  private wallMs(): number {
    return Math.floor(this.timer.wallMs());
  }
}
