import type { TimerService } from '@galenatiller/timer';
import type { LimitRule } from '@galenatiller/types';

/** Options of {@link OrganisationLimiter.create}. */
export interface OrganisationLimiterOptions {
  readonly timer: TimerService;
  readonly findLimit: (organisation: string) => LimitRule | undefined;
  /** Live entries; each enforces an equal part of a limit, so that the whole holds over all. */
  readonly countEntries: () => number;
}

/** Whether a call may start. */
export type LimitDecision =
  | { readonly kind: 'admit' }
  | {
      readonly kind: 'refuse';
      readonly reason: 'in-flight' | 'rate';
      readonly retryAfterMs: number;
    };

interface OrganisationUse {
  readonly inFlight: number;
  /** Calls that may start now; at most those of one second. */
  readonly allowance: number;
  readonly refilledAtMs: number;
}

const MS_PER_S = 1_000;

/** Keeps each organisation to its limits. */
export class OrganisationLimiter {
  private readonly used = new Map<string, OrganisationUse>();

  private constructor(private readonly opts: OrganisationLimiterOptions) {}

  /** Makes a limiter that has seen no call. */
  static create(opts: OrganisationLimiterOptions): OrganisationLimiter {
    return new OrganisationLimiter(opts);
  }

  /** Decides whether a call may start; one that may must be followed by `leave`. */
  acquire(organisation: string): LimitDecision {
    const limit = this.opts.findLimit(organisation);
    if (!limit) {
      return { kind: 'admit' };
    }
    const use = this.refill(organisation, limit);
    const refusal = this.findRefusal(limit, use);
    if (refusal) {
      this.used.set(organisation, use);
      return refusal;
    }
    const { inFlight, allowance } = use;
    this.used.set(organisation, { ...use, inFlight: inFlight + 1, allowance: allowance - 1 });
    return { kind: 'admit' };
  }

  /** Tells that a call has ended. */
  release(organisation: string): void {
    const use = this.used.get(organisation);
    if (use) {
      this.used.set(organisation, { ...use, inFlight: Math.max(0, use.inFlight - 1) });
    }
  }

  private findRefusal(limit: LimitRule, use: OrganisationUse): LimitDecision | undefined {
    if (use.inFlight >= Math.max(1, Math.floor(this.partOf(limit.inFlight)))) {
      return { kind: 'refuse', reason: 'in-flight', retryAfterMs: MS_PER_S };
    }
    if (use.allowance < 1) {
      const perSecond = this.partOf(limit.requestsPerSecond);
      const retryAfterMs = Math.ceil(((1 - use.allowance) * MS_PER_S) / perSecond);
      return { kind: 'refuse', reason: 'rate', retryAfterMs };
    }
    return undefined;
  }

  private refill(organisation: string, limit: LimitRule): OrganisationUse {
    const perSecond = this.partOf(limit.requestsPerSecond);
    const most = Math.max(1, perSecond);
    const refilledAtMs = this.opts.timer.nowMs();
    const use = this.used.get(organisation) ?? { inFlight: 0, allowance: most, refilledAtMs };
    const earned = ((refilledAtMs - use.refilledAtMs) * perSecond) / MS_PER_S;
    return { ...use, allowance: Math.min(most, use.allowance + earned), refilledAtMs };
  }

  /** The part of a limit that this entry enforces. */
  private partOf(whole: number): number {
    return whole / Math.max(1, this.opts.countEntries());
  }
}
