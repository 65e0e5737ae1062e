import type { TimerService } from '@galenatiller/timer';

import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Options of {@link RetryBudget.create}. */
export interface RetryBudgetOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
  /** Retries that all nodes together may make per request. */
  readonly ratio: number;
  /** Retries that all nodes together may make on top of that within the window. */
  readonly slackRetries: number;
  /** Number of nodes that may have used the slack within the window, including this one. */
  readonly nodeCount: () => number;
  /**
   * Whether this node may use its share of the slack: the others count it, and no process before it under its
   * name can have used the share within the window.
   */
  readonly hasWholeShare: () => boolean;
}

/** Share of the budget that is used; the rest covers nodes that this one doesn't know yet. */
const USED_SHARE = 0.8;

/**
 * Limits the retries of requests to a service, so that all nodes together keep within one budget.
 */
export class RetryBudget {
  private readonly requests = new Map<string, SlidingWindowCounter>();

  private readonly retries = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly opts: RetryBudgetOptions) {}

  /** Creates a budget without requests or retries. */
  static create(opts: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(opts);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.getCounter(this.requests, service).add();
  }

  /** Withdraws one retry; false when the budget of the service is exhausted. */
  tryWithdraw(service: string): boolean {
    const retries = this.getCounter(this.retries, service);
    if (retries.count() + 1 > this.countAllowed(service)) {
      return false;
    }
    retries.add();
    return true;
  }

  /** What of the budget of a service is used, for a log line. */
  describe(service: string): string {
    const { nodeCount, hasWholeShare } = this.opts;
    const used = this.getCounter(this.retries, service).count();
    const share = hasWholeShare() ? `a share of 1/${nodeCount()}` : 'no share';
    return `${used} of ${this.countAllowed(service).toFixed(1)} used, with ${share} of the slack`;
  }

  private countAllowed(service: string): number {
    const { ratio, slackRetries, nodeCount, hasWholeShare } = this.opts;
    const slack = hasWholeShare() ? slackRetries / Math.max(1, nodeCount()) : 0;
    return USED_SHARE * (ratio * this.getCounter(this.requests, service).count() + slack);
  }

  private getCounter(
    counters: Map<string, SlidingWindowCounter>,
    service: string,
  ): SlidingWindowCounter {
    const { timer, windowMs } = this.opts;
    const counter = counters.get(service) ?? SlidingWindowCounter.create({ timer, windowMs });
    counters.set(service, counter);
    return counter;
  }
}
