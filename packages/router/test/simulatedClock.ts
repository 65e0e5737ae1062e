import type { ArmOptions, Cancel, Clock } from '@galenatiller/timer';

import { EventQueue } from './eventQueue.js';

/** A clock for simulations with thousands of timers; it only moves when it is advanced. */
export class SimulatedClock implements Clock {
  private timeMs = 0;

  private readonly events = EventQueue.create();

  private constructor() {}

  /** Creates a clock at monotonic time 0. */
  static create(): SimulatedClock {
    return new SimulatedClock();
  }

  /** Monotonic time in milliseconds. */
  readonly nowMs = (): number => this.timeMs;

  /** Unix time in milliseconds. */
  readonly wallMs = (): number => this.timeMs;

  /** Arms a timer that fires when time is advanced past it. */
  readonly arm = ({ delayMs, wake }: ArmOptions): Cancel => {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) {
        wake();
      }
    };
    this.events.add({ atMs: this.timeMs + Math.max(0, delayMs), run });
    return () => {
      isCancelled = true;
    };
  };

  /** Advances the time: fires due timers in order and lets woken tasks run between them. */
  async advanceTo(untilMs: number): Promise<void> {
    for (let { first } = this.events; first && first.atMs <= untilMs; { first } = this.events) {
      this.events.removeFirst();
      this.timeMs = first.atMs;
      first.run();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.timeMs = untilMs;
  }
}
