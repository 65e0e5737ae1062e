import type { TimerService } from '@galenatiller/timer';

/** Fraction of a retry that each first attempt adds to the budget. */
const DEPOSIT_PER_FIRST_ATTEMPT = 0.1;

/** Maximum number of saved retries, so that a quiet period cannot pay for a retry storm. */
const MAX_BALANCE = 20;

/** Number of retries that are granted beside those that first attempts pay for. */
const GRANTED_RETRIES = 10;

/**
 * The grant comes one retry at a time, so that an entry that is restarted again and again has no more of it than
 * one that runs on.
 */
const GRANT_INTERVAL_MS = 1_000;

/** Limits retries to a fraction of first attempts, so that they cannot make an overload worse. */
export class RetryBudget {
  /** Balances without what is granted. */
  private readonly balances = new Map<string, number>();

  private readonly createdAtMs: number;

  private constructor(private readonly timer: Pick<TimerService, 'nowMs'>) {
    this.createdAtMs = timer.nowMs();
  }

  /** Creates a budget with a separate balance for each target group. */
  static create(opts: { readonly timer: Pick<TimerService, 'nowMs'> }): RetryBudget {
    return new RetryBudget(opts.timer);
  }

  /** Credits a first attempt with a fraction of a retry. */
  deposit(targetGroup: string): void {
    const maxBalance = MAX_BALANCE - this.countGranted();
    this.balances.set(
      targetGroup,
      Math.min(maxBalance, this.getBalance(targetGroup) + DEPOSIT_PER_FIRST_ATTEMPT),
    );
  }

  /** Withdraws one retry; returns false when the budget is exhausted. */
  tryWithdraw(targetGroup: string): boolean {
    const balance = this.getBalance(targetGroup);
    if (balance + this.countGranted() < 1) {
      return false;
    }
    this.balances.set(targetGroup, balance - 1);
    return true;
  }

  private getBalance(targetGroup: string): number {
    return this.balances.get(targetGroup) ?? 0;
  }

  private countGranted(): number {
    const granted = 1 + Math.floor((this.timer.nowMs() - this.createdAtMs) / GRANT_INTERVAL_MS);
    return Math.min(GRANTED_RETRIES, granted);
  }
}
