import type { TimerService } from '@galenatiller/timer';
import type { LimitRule } from '@galenatiller/types';

/** Options of {@link OrganisationLimiter.create}. */
export interface OrganisationLimiterOptions {
  readonly timer: TimerService;
  readonly findLimit: (organisation: string) => LimitRule | undefined;
  /**
   * Number of live entries. Each enforces an equal share of a limit, so that the limit holds over
   * all entries.
   */
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

interface OrganisationUsage {
  readonly inFlight: number;
  /** Number of calls that may start now, as in a token bucket; at most those of one second. */
  readonly availableCalls: number;
  readonly refilledAtMs: number;
}

const MS_PER_S = 1_000;

/** Enforces the limits of each organisation. */
export class OrganisationLimiter {
  private readonly usageByOrganisation = new Map<string, OrganisationUsage>();

  private constructor(private readonly opts: OrganisationLimiterOptions) {}

  /** Creates a limiter without calls. */
  static create(opts: OrganisationLimiterOptions): OrganisationLimiter {
    return new OrganisationLimiter(opts);
  }

  /** Decides whether a call may start; each admitted call must be followed by `release`. */
  acquire(organisation: string): LimitDecision {
    const limit = this.opts.findLimit(organisation);
    if (!limit) {
      return { kind: 'admit' };
    }
    const usage = this.refill(organisation, limit);
    const refusal = this.findRefusal(limit, usage);
    if (refusal) {
      this.usageByOrganisation.set(organisation, usage);
      return refusal;
    }
    const { inFlight, availableCalls } = usage;
    this.usageByOrganisation.set(organisation, {
      ...usage,
      inFlight: inFlight + 1,
      availableCalls: availableCalls - 1,
    });
    return { kind: 'admit' };
  }

  /** Records the end of an admitted call. */
  release(organisation: string): void {
    const usage = this.usageByOrganisation.get(organisation);
    if (usage) {
      this.usageByOrganisation.set(organisation, {
        ...usage,
        inFlight: Math.max(0, usage.inFlight - 1),
      });
    }
  }

  private findRefusal(limit: LimitRule, usage: OrganisationUsage): LimitDecision | undefined {
    if (usage.inFlight >= Math.max(1, Math.floor(this.computeOwnShare(limit.inFlight)))) {
      return { kind: 'refuse', reason: 'in-flight', retryAfterMs: MS_PER_S };
    }
    if (usage.availableCalls < 1) {
      const perSecond = this.computeOwnShare(limit.requestsPerSecond);
      const retryAfterMs = Math.ceil(((1 - usage.availableCalls) * MS_PER_S) / perSecond);
      return { kind: 'refuse', reason: 'rate', retryAfterMs };
    }
    return undefined;
  }

  private refill(organisation: string, limit: LimitRule): OrganisationUsage {
    const perSecond = this.computeOwnShare(limit.requestsPerSecond);
    const maxAvailableCalls = Math.max(1, perSecond);
    const refilledAtMs = this.opts.timer.nowMs();
    const usage = this.usageByOrganisation.get(organisation) ?? {
      inFlight: 0,
      availableCalls: maxAvailableCalls,
      refilledAtMs,
    };
    const refilledCalls = ((refilledAtMs - usage.refilledAtMs) * perSecond) / MS_PER_S;
    return {
      ...usage,
      availableCalls: Math.min(maxAvailableCalls, usage.availableCalls + refilledCalls),
      refilledAtMs,
    };
  }

  /** The share of a limit that this entry enforces. */
  private computeOwnShare(limit: number): number {
    return limit / Math.max(1, this.opts.countEntries());
  }
}
