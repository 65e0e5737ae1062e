/** Fraction of a retry that each first attempt adds to the budget. */
const DEPOSIT_PER_FIRST_ATTEMPT = 0.1;

/** Maximum number of saved retries, so that a quiet period cannot pay for a retry storm. */
const MAX_BALANCE = 20;

/** Number of retries available before the first attempt. */
const INITIAL_BALANCE = 10;

/** Limits retries to a fraction of first attempts, so that they cannot make an overload worse. */
export class RetryBudget {
  private readonly balances = new Map<string, number>();

  private constructor() {}

  /** Creates a budget with a separate balance for each target group. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Credits a first attempt with a fraction of a retry. */
  deposit(targetGroup: string): void {
    this.balances.set(
      targetGroup,
      Math.min(MAX_BALANCE, this.getBalance(targetGroup) + DEPOSIT_PER_FIRST_ATTEMPT),
    );
  }

  /** Withdraws one retry; returns false when the budget is exhausted. */
  tryWithdraw(targetGroup: string): boolean {
    const balance = this.getBalance(targetGroup);
    if (balance < 1) {
      return false;
    }
    this.balances.set(targetGroup, balance - 1);
    return true;
  }

  private getBalance(targetGroup: string): number {
    return this.balances.get(targetGroup) ?? INITIAL_BALANCE;
  }
}
