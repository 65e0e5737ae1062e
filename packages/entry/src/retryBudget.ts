/** Retries that each first attempt earns. */
const RETRY_SHARE = 0.1;

/** Retries that are saved up at most, so that a quiet time does not pay for a storm. */
const MAX_SAVED_RETRIES = 20;

/** Retries that an idle entry starts with. */
const FIRST_RETRIES = 10;

/** Keeps retries to a share of the first attempts, so that they can't make a brown-out worse. */
export class RetryBudget {
  private readonly saved = new Map<string, number>();

  private constructor() {}

  /** Makes a budget for every target group. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Earns a share of a retry by a first attempt. */
  deposit(targetGroup: string): void {
    this.saved.set(targetGroup, Math.min(MAX_SAVED_RETRIES, this.left(targetGroup) + RETRY_SHARE));
  }

  /** Spends one retry; false when none is left. */
  tryWithdraw(targetGroup: string): boolean {
    const left = this.left(targetGroup);
    if (left < 1) {
      return false;
    }
    this.saved.set(targetGroup, left - 1);
    return true;
  }

  private left(targetGroup: string): number {
    return this.saved.get(targetGroup) ?? FIRST_RETRIES;
  }
}
