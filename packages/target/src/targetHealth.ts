import type { TimerService } from '@galenatiller/timer';

/** How one exchange with a target ended, as far as it tells of the target's health. */
export type ExchangeResult = 'good' | 'failed' | 'unreachable';

/** A target was taken out of or back into use. */
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

interface Record {
  readonly failuresInRow: number;
  /** Smoothed share of exchanges that failed. */
  readonly failureShare: number;
  readonly exchanges: number;
  readonly suspendedUntilMs: number;
  readonly suspensions: number;
}

/** Two connections in a row that fail are a dead or unreachable target. */
const UNREACHABLE_IN_ROW = 1;

/** Three failed answers in a row are no usual rate of errors. */
const FAILED_IN_ROW = 3;

/** Above this share of failures another target is better even at twice the load. */
const FAILURE_SHARE_LIMIT = 0.5;

/** Exchanges before the share of failures counts. */
const MIN_EXCHANGES = 6;

/** Weight of the newest exchange in the share of failures. */
const NEWEST_WEIGHT = 0.15;

/** A crashed target is back after a few seconds; the first suspension is a fraction of that. */
const SUSPEND_BASE_MS = 700;
const SUSPEND_CAP_MS = 4_000;

const FRESH: Record = {
  failuresInRow: 0,
  failureShare: 0,
  exchanges: 0,
  suspendedUntilMs: 0,
  suspensions: 0,
};

/** Judges targets by how exchanges with them end; the same for every kind of peer. */
export class TargetHealth {
  private readonly records = new Map<string, Record>();

  private constructor(private readonly opts: TargetHealthOptions) {}

  /** Makes a judge without evidence. */
  static create(opts: TargetHealthOptions): TargetHealth {
    return new TargetHealth(opts);
  }

  /** Whether a target should get no work while another one can take it. */
  isSuspended(targetId: string): boolean {
    return this.recordOf(targetId).suspendedUntilMs > this.opts.timer.nowMs();
  }

  /** Smoothed share of exchanges with the target that failed, from 0 to 1. */
  failureShare(targetId: string): number {
    return this.recordOf(targetId).failureShare;
  }

  /** Takes the end of an exchange. */
  record(opts: { readonly targetId: string; readonly result: ExchangeResult }): void {
    const { targetId, result } = opts;
    const before = this.recordOf(targetId);
    const failed = result === 'good' ? 0 : 1;
    const after: Record = {
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
    const inRow = result === 'unreachable' ? UNREACHABLE_IN_ROW : FAILED_IN_ROW;
    const isOften = after.exchanges >= MIN_EXCHANGES && after.failureShare > FAILURE_SHARE_LIMIT;
    if (after.failuresInRow >= inRow || isOften) {
      this.suspend(targetId, after);
    } else {
      this.records.set(targetId, after);
    }
  }

  /** Forgets a target that has started anew or is gone. */
  forget(targetId: string): void {
    this.records.delete(targetId);
  }

  private trust(targetId: string, before: Record, after: Record): void {
    this.records.set(targetId, { ...after, suspendedUntilMs: 0 });
    if (before.suspendedUntilMs > 0) {
      const { failuresInRow, failureShare } = after;
      this.opts.onEvent({ kind: 'trusted', targetId, failuresInRow, failureShare, forMs: 0 });
    }
  }

  private suspend(targetId: string, record: Record): void {
    const nowMs = this.opts.timer.nowMs();
    const isRenewed = record.suspendedUntilMs > nowMs;
    const forMs = Math.min(SUSPEND_CAP_MS, SUSPEND_BASE_MS * 2 ** record.suspensions);
    this.records.set(targetId, {
      ...record,
      suspendedUntilMs: isRenewed ? record.suspendedUntilMs : nowMs + forMs,
      suspensions: isRenewed ? record.suspensions : record.suspensions + 1,
    });
    if (!isRenewed) {
      const { failuresInRow, failureShare } = record;
      this.opts.onEvent({ kind: 'suspended', targetId, failuresInRow, failureShare, forMs });
    }
  }

  private recordOf(targetId: string): Record {
    return this.records.get(targetId) ?? FRESH;
  }
}
