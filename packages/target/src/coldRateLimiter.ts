import type { TimerService } from '@galenatiller/timer';

import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Options of {@link ColdRateLimiter.create}. */
export interface ColdRateLimiterOptions {
  readonly timer: TimerService;
  /** Nodes that send to the same targets, this one included. */
  readonly nodeCount: () => number;
  /** What the fleet may send a cold target beyond its rate: factor and requests. */
  readonly overFactor: number;
  readonly slackRequests: number;
}

const WINDOW_MS = 1_000;

/**
 * Keeps the requests of all nodes to one target within what it bears while cold. A target may turn
 * cold unannounced, so the share holds at all times; a node knows only its own part of the traffic.
 */
export class ColdRateLimiter {
  private readonly sent = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly opts: ColdRateLimiterOptions) {}

  /** Makes a limiter that has sent nothing. */
  static create(opts: ColdRateLimiterOptions): ColdRateLimiter {
    return new ColdRateLimiter(opts);
  }

  /** Whether one more request may be sent to the target within this second. */
  canSend(opts: { readonly address: string; readonly coldRequestsPerS: number }): boolean {
    const { address, coldRequestsPerS } = opts;
    if (coldRequestsPerS === 0) {
      return true;
    }
    const { overFactor, slackRequests, nodeCount } = this.opts;
    const fleetLimit = coldRequestsPerS * overFactor + slackRequests;
    const ownLimit = Math.max(1, Math.floor(fleetLimit / Math.max(1, nodeCount())));
    return (this.sent.get(address)?.count() ?? 0) < ownLimit;
  }

  /** Counts a request that is sent. */
  recordSent(address: string): void {
    const { timer } = this.opts;
    const count =
      this.sent.get(address) ?? SlidingWindowCounter.create({ timer, windowMs: WINDOW_MS });
    count.add();
    this.sent.set(address, count);
  }
}
