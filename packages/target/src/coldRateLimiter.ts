import type { TimerService } from '@galenatiller/timer';

import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Options of {@link ColdRateLimiter.create}. */
export interface ColdRateLimiterOptions {
  readonly timer: TimerService;
  /** Number of nodes that send to the same targets, including this one. */
  readonly nodeCount: () => number;
  /** All nodes together may send a cold target its rate times this factor. */
  readonly overFactor: number;
  /** Requests that all nodes together may send on top of that. */
  readonly slackRequests: number;
}

const WINDOW_MS = 1_000;

/** A node that has just started may send its first requests before the others know of it. */
const SPARE_RESERVE = 1;

/**
 * Limits the requests of all nodes to one target to what it can handle while cold. A target may
 * become cold without notice, so the limit always applies. A node only sees its own requests, so
 * each one gets an equal share of the limit.
 */
export class ColdRateLimiter {
  private readonly sentCounters = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly opts: ColdRateLimiterOptions) {}

  /** Creates a limiter without recorded requests. */
  static create(opts: ColdRateLimiterOptions): ColdRateLimiter {
    return new ColdRateLimiter(opts);
  }

  /** Whether one more request may be sent to the target now. */
  canSend(opts: { readonly address: string; readonly maxColdRequestsPerSecond: number }): boolean {
    const { address, maxColdRequestsPerSecond } = opts;
    if (maxColdRequestsPerSecond === 0) {
      return true;
    }
    const { ownPerSecond } = this.share(maxColdRequestsPerSecond);
    return (this.sentCounters.get(address)?.count() ?? 0) < ownPerSecond;
  }

  /** Requests per second that the equal shares of the nodes leave over, less a reserve. */
  sparePerSecond(maxColdRequestsPerSecond: number): number {
    const { totalPerSecond, ownPerSecond, nodes } = this.share(maxColdRequestsPerSecond);
    return Math.max(0, Math.floor(totalPerSecond) - ownPerSecond * nodes - SPARE_RESERVE);
  }

  private share(maxColdRequestsPerSecond: number): {
    readonly totalPerSecond: number;
    readonly ownPerSecond: number;
    readonly nodes: number;
  } {
    const { overFactor, slackRequests, nodeCount } = this.opts;
    const totalPerSecond = maxColdRequestsPerSecond * overFactor + slackRequests;
    const nodes = Math.max(1, nodeCount());
    return { totalPerSecond, nodes, ownPerSecond: Math.max(1, Math.floor(totalPerSecond / nodes)) };
  }

  /** Records that a request is sent. */
  recordSent(address: string): void {
    const { timer } = this.opts;
    const counter =
      this.sentCounters.get(address) ?? SlidingWindowCounter.create({ timer, windowMs: WINDOW_MS });
    counter.add();
    this.sentCounters.set(address, counter);
  }
}
