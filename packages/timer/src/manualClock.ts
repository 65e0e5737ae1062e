import type { ArmOptions, Cancel, Clock } from './clock.js';

interface ArmedTimer {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Rounds of the event loop between two timers, so that woken tasks run before the next one. */
const SETTLE_ROUNDS = 4;

/** A clock that moves only when a test advances it. */
export class ManualClock implements Clock {
  private timeMs = 0;

  private nextOrder = 0;

  private readonly armed = new Set<ArmedTimer>();

  private constructor(private readonly startWallMs: number) {}

  /** Makes a clock at monotonic time 0. */
  static create(opts: { readonly startWallMs: number }): ManualClock {
    return new ManualClock(opts.startWallMs);
  }

  /** Monotonic time in milliseconds. */
  readonly nowMs = (): number => this.timeMs;

  /** Unix time in milliseconds. */
  readonly wallMs = (): number => this.startWallMs + this.timeMs;

  /** Arms a timer that fires when time is advanced past it. */
  readonly arm = ({ delayMs, wake }: ArmOptions): Cancel => {
    const timer = { atMs: this.timeMs + Math.max(0, delayMs), order: this.nextOrder, wake };
    this.nextOrder += 1;
    this.armed.add(timer);
    return () => {
      this.armed.delete(timer);
    };
  };

  /** Advances time, firing due timers in order and letting woken tasks run between them. */
  async advance(opts: { readonly byMs: number }): Promise<void> {
    const untilMs = this.timeMs + opts.byMs;
    await settle();
    for (let due = this.firstDue(untilMs); due; due = this.firstDue(untilMs)) {
      this.armed.delete(due);
      this.timeMs = due.atMs;
      due.wake();
      await settle();
    }
    this.timeMs = untilMs;
  }

  private firstDue(untilMs: number): ArmedTimer | undefined {
    let first: ArmedTimer | undefined;
    this.armed.forEach((timer) => {
      if (timer.atMs <= untilMs && (!first || isBefore(timer, first))) {
        first = timer;
      }
    });
    return first;
  }
}

function isBefore(left: ArmedTimer, right: ArmedTimer): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

async function settle(): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
