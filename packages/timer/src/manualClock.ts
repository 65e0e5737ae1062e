import type { ArmOptions, Cancel, Clock } from './clock.js';

interface ArmedTimer {
  readonly atMs: number;
  readonly sequence: number;
  readonly wake: () => void;
}

/**
 * Turns of the event loop between two timers, so that woken tasks run before the next timer fires.
 */
const SETTLE_TURNS = 4;

/** A clock that only moves when a test advances it. */
export class ManualClock implements Clock {
  private timeMs = 0;

  private nextSequence = 0;

  private readonly armed = new Set<ArmedTimer>();

  private constructor(private readonly startWallMs: number) {}

  /** Creates a clock at monotonic time 0. */
  static create(opts: { readonly startWallMs: number }): ManualClock {
    return new ManualClock(opts.startWallMs);
  }

  /** Monotonic time in milliseconds. */
  readonly nowMs = (): number => this.timeMs;

  /** Unix time in milliseconds. */
  readonly wallMs = (): number => this.startWallMs + this.timeMs;

  /** Arms a timer that fires when time is advanced past it. */
  readonly arm = ({ delayMs, wake }: ArmOptions): Cancel => {
    const timer = { atMs: this.timeMs + Math.max(0, delayMs), sequence: this.nextSequence, wake };
    this.nextSequence += 1;
    this.armed.add(timer);
    return () => {
      this.armed.delete(timer);
    };
  };

  /** Advances the time: fires due timers in order and lets woken tasks run between them. */
  async advance(opts: { readonly byMs: number }): Promise<void> {
    const untilMs = this.timeMs + opts.byMs;
    await runWokenTasks();
    for (let due = this.findFirstDue(untilMs); due; due = this.findFirstDue(untilMs)) {
      this.armed.delete(due);
      this.timeMs = due.atMs;
      due.wake();
      await runWokenTasks();
    }
    this.timeMs = untilMs;
  }

  private findFirstDue(untilMs: number): ArmedTimer | undefined {
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
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

async function runWokenTasks(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
