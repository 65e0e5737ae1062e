import type { TimerService } from '@galenatiller/timer';

/** Result of one exchange with a target, as far as it concerns the target's health. */
export type ExchangeResult = 'good' | 'failed' | 'unreachable';

/** A target was suspended, or is trusted again. */
export interface HealthEvent {
  readonly kind: 'suspended' | 'trusted';
  readonly targetId: string;
  readonly failuresInRow: number;
  readonly failureShare: number;
  readonly forMs: number;
}

/** Options of {@link TargetHealth.create}. */
export interface TargetHealthOptions {
  readonly timer: TimerService;
  readonly onEvent: (event: HealthEvent) => void;
}

interface HealthRecord {
  readonly failuresInRow: number;
  /** Smoothed share of failed exchanges. */
  readonly failureShare: number;
  readonly exchanges: number;
  readonly suspendedUntilMs: number;
  readonly suspensions: number;
}

/** A single failed connection is taken as proof that a target is dead or unreachable. */
const UNREACHABLE_TO_SUSPEND = 1;

/** Three failed responses in a row exceed a normal error rate. */
const FAILURES_TO_SUSPEND = 3;

/** Above this share of failures another target is better, even at twice the load. */
const MAX_FAILURE_SHARE = 0.5;

/** Minimum number of exchanges before the share of failures is evaluated. */
const MIN_EXCHANGES = 6;

/** Weight of the newest exchange in the smoothed share of failures. */
const NEWEST_WEIGHT = 0.15;

/**
 * Duration of the first suspension, doubled with each further one: a crashed target is back after a
 * few seconds, so the first one is a fraction of that.
 */
const MIN_SUSPENSION_MS = 700;
const MAX_SUSPENSION_MS = 4_000;

const NO_EXCHANGES: HealthRecord = {
  failuresInRow: 0,
  failureShare: 0,
  exchanges: 0,
  suspendedUntilMs: 0,
  suspensions: 0,
};

/** Suspends targets by the results of exchanges with them, in the same way for every kind of target. */
export class TargetHealth {
  private readonly records = new Map<string, HealthRecord>();

  private constructor(private readonly opts: TargetHealthOptions) {}

  /** Creates a health record without exchanges. */
  static create(opts: TargetHealthOptions): TargetHealth {
    return new TargetHealth(opts);
  }

  /** Whether a target should get no work as long as another one can take it. */
  isSuspended(targetId: string): boolean {
    return this.findRecord(targetId).suspendedUntilMs > this.opts.timer.nowMs();
  }

  /** Smoothed share of failed exchanges with the target, from 0 to 1. */
  failureShare(targetId: string): number {
    return this.findRecord(targetId).failureShare;
  }

  /** Records the result of an exchange. */
  record(opts: { readonly targetId: string; readonly result: ExchangeResult }): void {
    const { targetId, result } = opts;
    const before = this.findRecord(targetId);
    const failed = result === 'good' ? 0 : 1;
    const after: HealthRecord = {
      ...before,
      failuresInRow: failed === 0 ? 0 : before.failuresInRow + 1,
      failureShare: before.failureShare + (failed - before.failureShare) * NEWEST_WEIGHT,
      exchanges: before.exchanges + 1,
      suspensions: failed === 0 ? Math.max(0, before.suspensions - 1) : before.suspensions,
    };
    if (failed === 0) {
      this.trust(targetId, before, after);
      return;
    }
    const failuresToSuspend =
      result === 'unreachable' ? UNREACHABLE_TO_SUSPEND : FAILURES_TO_SUSPEND;
    const failsOften = after.exchanges >= MIN_EXCHANGES && after.failureShare > MAX_FAILURE_SHARE;
    if (after.failuresInRow >= failuresToSuspend || failsOften) {
      this.suspend(targetId, after);
    } else {
      this.records.set(targetId, after);
    }
  }

  /** Forgets a target that was restarted or is gone. */
  forget(targetId: string): void {
    this.records.delete(targetId);
  }

  private trust(targetId: string, before: HealthRecord, after: HealthRecord): void {
    this.records.set(targetId, { ...after, suspendedUntilMs: 0 });
    if (before.suspendedUntilMs > 0) {
      const { failuresInRow, failureShare } = after;
      this.opts.onEvent({ kind: 'trusted', targetId, failuresInRow, failureShare, forMs: 0 });
    }
  }

  private suspend(targetId: string, record: HealthRecord): void {
    const nowMs = this.opts.timer.nowMs();
    const isAlreadySuspended = record.suspendedUntilMs > nowMs;
    const forMs = Math.min(MAX_SUSPENSION_MS, MIN_SUSPENSION_MS * 2 ** record.suspensions);
    this.records.set(targetId, {
      ...record,
      suspendedUntilMs: isAlreadySuspended ? record.suspendedUntilMs : nowMs + forMs,
      suspensions: isAlreadySuspended ? record.suspensions : record.suspensions + 1,
    });
    if (!isAlreadySuspended) {
      const { failuresInRow, failureShare } = record;
      this.opts.onEvent({ kind: 'suspended', targetId, failuresInRow, failureShare, forMs });
    }
  }

  private findRecord(targetId: string): HealthRecord {
    return this.records.get(targetId) ?? NO_EXCHANGES;
  }
}
