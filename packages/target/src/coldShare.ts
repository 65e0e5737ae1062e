import type { TimerService } from '@galenatiller/timer';

import { SlidingCount } from './slidingCount.js';

/** Options of {@link ColdShare.create}. */
export interface ColdShareOptions {
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
export class ColdShare {
  private readonly sent = new Map<string, SlidingCount>();

  private constructor(private readonly opts: ColdShareOptions) {}

  /** Makes a limiter that has sent nothing. */
  static create(opts: ColdShareOptions): ColdShare {
    return new ColdShare(opts);
  }

  /** Whether one more request may be sent to the target within this second. */
  mayTake(opts: { readonly address: string; readonly coldRequestsPerS: number }): boolean {
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
  noteSent(address: string): void {
    const { timer } = this.opts;
    const count = this.sent.get(address) ?? SlidingCount.create({ timer, windowMs: WINDOW_MS });
    count.add();
    this.sent.set(address, count);
  }
}
