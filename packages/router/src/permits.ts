import type { MetricSink } from '@galenatiller/metrics';
import type { Member } from '@galenatiller/store';
import { type ColdRateLimiter, SparePermits } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';

import { STALE_EVIDENCE_MS } from './evidenceAge.js';
import type { ServiceOwners } from './ownership/index.js';
import type { PeerRouters } from './peerRouters.js';

/** Options of {@link Permits.create}. */
export interface PermitsOptions {
  readonly timer: TimerService;
  readonly selfName: string;
  readonly owners: Pick<ServiceOwners, 'findSharers'>;
  readonly peers: Pick<PeerRouters, 'find'>;
  readonly coldRateLimiter: Pick<ColdRateLimiter, 'sparePerSecond'>;
  /** Requests per second that a cold target of a service can handle; 0 when it has no limit. */
  readonly maxColdRequestsPerSecond: (service: string) => number;
  /** Time since the store last proved what this node knows. */
  readonly evidenceAgeMs: () => number;
  readonly metrics: Pick<MetricSink, 'count'>;
}

/** A target for which a permit is asked. */
export interface PermitTarget {
  readonly service: string;
  readonly address: string;
}

/** A response over a link takes a few milliseconds; reading a prompt anew takes tens of them. */
const REQUEST_TIMEOUT_MS = 25;

/**
 * Permits for sends beyond the equal share of this node, which the router responsible for the target grants from
 * what the shares leave over. So calls with the same prompt parts reach the target that has them cached
 * although most nodes send it little.
 */
export class Permits {
  private readonly spare: SparePermits;

  private memberNames = '';

  private constructor(private readonly opts: PermitsOptions) {
    this.spare = SparePermits.create({
      ...opts,
      isGranter: (address) =>
        this.findGranter(address) === opts.selfName && opts.evidenceAgeMs() < STALE_EVIDENCE_MS,
    });
  }

  /** Creates permits; none is granted before the live routers have been the same for a while. */
  static create(opts: PermitsOptions): Permits {
    return new Permits(opts);
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    const names = members
      .map(({ name, leavingSince }) => `${name} ${leavingSince}`)
      .sort()
      .join();
    if (names !== this.memberNames) {
      this.memberNames = names;
      this.spare.onNodesChanged();
    }
  }

  /** Grants one more send to a target, for this node or another one; false if none is left. */
  tryGrant({ service, address }: PermitTarget): boolean {
    const sparePerSecond = this.countSpare(service);
    return sparePerSecond > 0 && this.spare.tryGrant({ address, sparePerSecond });
  }

  /** Obtains a permit from the router responsible for the target; false if there is none in time. */
  async obtain(target: PermitTarget): Promise<boolean> {
    if (this.countSpare(target.service) === 0) {
      return false;
    }
    const isGranted = await this.request(target);
    const result = isGranted ? 'ok' : 'failed';
    this.opts.metrics.count({ name: 'router.permits', tags: { result } });
    return isGranted;
  }

  private async request(target: PermitTarget): Promise<boolean> {
    const granter = this.findGranter(target.address);
    if (granter === this.opts.selfName) {
      return this.tryGrant(target);
    }
    const limit = this.opts.timer.startTimeLimit({ limitMs: REQUEST_TIMEOUT_MS });
    try {
      const peer = this.opts.peers.find(granter);
      return peer ? await peer.requestPermit({ ...target, signal: limit.signal }) : false;
    } finally {
      limit.release();
    }
  }

  private countSpare(service: string): number {
    const { coldRateLimiter, maxColdRequestsPerSecond } = this.opts;
    return coldRateLimiter.sparePerSecond(maxColdRequestsPerSecond(service));
  }

  private findGranter(address: string): string {
    return this.opts.owners.findSharers(`permits ${address}`, 1)[0] ?? this.opts.selfName;
  }
}
