import type { TimerService } from '@galenatiller/timer';

/** Options of {@link CallBudget.create}. */
export interface CallBudgetOptions {
  readonly timer: TimerService;
  readonly callsPerSecond: number;
  /** Capacity of the bucket: calls that may be made at once after an idle period. */
  readonly maxBurstCalls: number;
}

const MS_PER_S = 1_000;

/** A token bucket that limits a node's calls to the store. */
export class CallBudget {
  private availableCalls: number;

  private refilledAtMs: number;

  private constructor(private readonly opts: CallBudgetOptions) {
    this.availableCalls = opts.maxBurstCalls;
    this.refilledAtMs = opts.timer.nowMs();
  }

  /** Creates a full bucket. */
  static create(opts: CallBudgetOptions): CallBudget {
    return new CallBudget(opts);
  }

  /**
   * Takes one call and returns 0, or returns the time until a call is available in milliseconds.
   */
  spend(): number {
    this.refill();
    if (this.availableCalls < 1) {
      return Math.ceil(((1 - this.availableCalls) * MS_PER_S) / this.opts.callsPerSecond);
    }
    this.availableCalls -= 1;
    return 0;
  }

  private refill(): void {
    const nowMs = this.opts.timer.nowMs();
    const refilledCalls = ((nowMs - this.refilledAtMs) * this.opts.callsPerSecond) / MS_PER_S;
    this.availableCalls = Math.min(this.opts.maxBurstCalls, this.availableCalls + refilledCalls);
    this.refilledAtMs = nowMs;
  }
}
