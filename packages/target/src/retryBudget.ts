import type { TimerService } from '@galenatiller/timer';

import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Options of {@link RetryBudget.create}. */
export interface RetryBudgetOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
  /** Repeats that the fleet may make for each request. */
  readonly ratio: number;
  /** Repeats that the fleet may make beyond that within the window. */
  readonly slackRetries: number;
  /** Nodes that share the slack, this one included. */
  readonly nodeCount: () => number;
}

/** Share of the budget that is used; the rest covers nodes that this one does not know yet. */
const USED_SHARE = 0.8;

/** Limits how often requests of a service are sent once more, so that all nodes keep one budget. */
export class RetryBudget {
  private readonly requests = new Map<string, SlidingWindowCounter>();

  private readonly repeats = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly opts: RetryBudgetOptions) {}

  /** Makes a full budget. */
  static create(opts: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(opts);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.countOf(this.requests, service).add();
  }

  /** Spends one repeat; false when the budget of the service is spent. */
  tryWithdraw(service: string): boolean {
    const { ratio, slackRetries: slackRepeats, nodeCount } = this.opts;
    const slack = slackRepeats / Math.max(1, nodeCount());
    const allowed = USED_SHARE * (ratio * this.countOf(this.requests, service).count() + slack);
    const repeats = this.countOf(this.repeats, service);
    if (repeats.count() + 1 > allowed) {
      return false;
    }
    repeats.add();
    return true;
  }

  private countOf(
    counts: Map<string, SlidingWindowCounter>,
    service: string,
  ): SlidingWindowCounter {
    const { timer, windowMs } = this.opts;
    const count = counts.get(service) ?? SlidingWindowCounter.create({ timer, windowMs });
    counts.set(service, count);
    return count;
  }
}
