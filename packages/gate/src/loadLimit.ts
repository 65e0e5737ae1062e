/** Run time of an ended run and the time until its deadline when its request arrived. */
export interface LoadSample {
  readonly runMs: number;
  readonly budgetMs: number;
  /** Number of runs on the target when this one started, including itself. */
  readonly inFlight: number;
}

/** Limits concurrent runs so that runs end within their deadlines. */
export interface LoadLimit {
  readonly getLimit: () => number;
  readonly onRunEnded: (run: LoadSample) => void;
}

/** Options of {@link AimdLoadLimit.create}. */
export interface LoadLimitOptions {
  readonly maxInFlight: number;
  readonly minInFlight: number;
}

/** Fraction of its time budget above which a run shows that the target is overloaded. */
const SLOW_BUDGET_SHARE = 0.85;

/** Fraction of its time budget below which a run shows that the target can handle more. */
const FAST_BUDGET_SHARE = 0.6;

/** Factor by which a slow run lowers the limit. */
const DECREASE_FACTOR = 0.9;

/**
 * Additive increase, multiplicative decrease (AIMD). A target that batches its work slows down
 * every run as concurrency grows, so with too many runs at once none of them would end in time.
 */
export class AimdLoadLimit implements LoadLimit {
  private currentLimit: number;

  /** Runs that must end before the limit is lowered again, as they started under the old limit. */
  private runsUntilDecrease = 0;

  private constructor(private readonly opts: LoadLimitOptions) {
    this.currentLimit = opts.maxInFlight;
  }

  /** Creates a limit that starts at the maximum. */
  static create(opts: LoadLimitOptions): AimdLoadLimit {
    return new AimdLoadLimit(opts);
  }

  /** Returns the current maximum number of concurrent runs. */
  readonly getLimit = (): number => Math.floor(this.currentLimit);

  /** Adjusts the limit after a run that completed or was cut off at its deadline. */
  readonly onRunEnded = (sample: LoadSample): void => {
    this.runsUntilDecrease = Math.max(0, this.runsUntilDecrease - 1);
    const budgetShare = sample.runMs / Math.max(1, sample.budgetMs);
    if (budgetShare > SLOW_BUDGET_SHARE && sample.inFlight > this.opts.minInFlight) {
      this.decrease();
    } else if (budgetShare < FAST_BUDGET_SHARE && sample.inFlight * 2 >= this.currentLimit) {
      this.currentLimit = Math.min(
        this.opts.maxInFlight,
        this.currentLimit + 1 / this.currentLimit,
      );
    }
  };

  private decrease(): void {
    if (this.runsUntilDecrease > 0) {
      return;
    }
    this.runsUntilDecrease = Math.ceil(this.currentLimit);
    this.currentLimit = Math.max(this.opts.minInFlight, this.currentLimit * DECREASE_FACTOR);
  }
}

/** Creates a limit that never changes, for the naive baseline policy. */
export function createFixedLoadLimit(opts: LoadLimitOptions): LoadLimit {
  return { getLimit: () => opts.maxInFlight, onRunEnded: () => {} };
}
