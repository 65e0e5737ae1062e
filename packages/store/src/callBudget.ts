import type { TimerService } from '@galenatiller/timer';

/** Options of {@link CallBudget.create}. */
export interface CallBudgetOptions {
  readonly timer: TimerService;
  readonly callsPerSecond: number;
  /** Most calls at once after a quiet time. */
  readonly maxBurstCalls: number;
}

const MS_PER_S = 1_000;

/** A token bucket: the calls to the store that a node allows itself. */
export class CallBudget {
  private calls: number;

  private refilledAtMs: number;

  private constructor(private readonly opts: CallBudgetOptions) {
    this.calls = opts.maxBurstCalls;
    this.refilledAtMs = opts.timer.nowMs();
  }

  /** Makes a full budget. */
  static create(opts: CallBudgetOptions): CallBudget {
    return new CallBudget(opts);
  }

  /** Spends one call; gives 0, or the time to wait for the next call in milliseconds. */
  spend(): number {
    this.refill();
    if (this.calls < 1) {
      return Math.ceil(((1 - this.calls) * MS_PER_S) / this.opts.callsPerSecond);
    }
    this.calls -= 1;
    return 0;
  }

  private refill(): void {
    const nowMs = this.opts.timer.nowMs();
    const earned = ((nowMs - this.refilledAtMs) * this.opts.callsPerSecond) / MS_PER_S;
    this.calls = Math.min(this.opts.maxBurstCalls, this.calls + earned);
    this.refilledAtMs = nowMs;
  }
}
