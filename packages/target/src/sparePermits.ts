import type { TimerService } from '@galenatiller/timer';

import { SlidingWindowCounter } from './slidingWindowCounter.js';

/** Options of {@link SparePermits.create}. */
export interface SparePermitsOptions {
  readonly timer: TimerService;
  /** Whether this node is the one that grants the permits for a target. */
  readonly isGranter: (address: string) => boolean;
}

/** Longer than a lease of a member: by then every node names the same granter, or has none. */
const SETTLED_AFTER_MS = 4_500;

/** Window of the limit and the time until a permit is used. */
const WINDOW_MS = 1_100;

/**
 * Grants sends from the part of a target's rate limit that the equal shares of the nodes leave over. One node
 * grants for each target, and none while the nodes may not agree on which.
 */
export class SparePermits {
  private readonly granted = new Map<string, SlidingWindowCounter>();

  private changedAtMs: number;

  private constructor(private readonly opts: SparePermitsOptions) {
    this.changedAtMs = opts.timer.nowMs();
  }

  /** Creates an instance that grants nothing until the nodes have been the same for a while. */
  static create(opts: SparePermitsOptions): SparePermits {
    return new SparePermits(opts);
  }

  /** Called when the nodes that send to the targets have changed, or may have. */
  onNodesChanged(): void {
    this.changedAtMs = this.opts.timer.nowMs();
  }

  /** Whether one more send to the target is granted, out of so many spare ones per second. */
  tryGrant(opts: { readonly address: string; readonly sparePerSecond: number }): boolean {
    const { address, sparePerSecond } = opts;
    const { timer, isGranter } = this.opts;
    if (timer.nowMs() - this.changedAtMs < SETTLED_AFTER_MS || !isGranter(address)) {
      return false;
    }
    const counter =
      this.granted.get(address) ?? SlidingWindowCounter.create({ timer, windowMs: WINDOW_MS });
    if (counter.count() >= sparePerSecond) {
      return false;
    }
    counter.add();
    this.granted.set(address, counter);
    return true;
  }
}
