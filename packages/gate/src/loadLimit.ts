/** A run that has ended, against the time that its order had left when it arrived. */
export interface LoadSample {
  readonly runMs: number;
  readonly budgetMs: number;
  /** Runs on the target when this one started, itself included. */
  readonly inFlight: number;
}

/** Decides how many runs at once let runs end within their deadlines. */
export interface LoadLimit {
  readonly getLimit: () => number;
  readonly onEnded: (run: LoadSample) => void;
}

/** Options of {@link AimdLoadLimit.create}. */
export interface LoadLimitOptions {
  readonly maxInFlight: number;
  readonly minInFlight: number;
}

/** Part of its budget that a run may take before the target counts as overloaded. */
const SLOW_SHARE = 0.85;

/** Part of its budget under which a run shows that the target bears more. */
const FAST_SHARE = 0.6;

/** Shrinkage of the limit after a slow run. */
const SHRINKAGE = 0.9;

/**
 * Additive increase, multiplicative decrease: a target that batches runs each of them slower the
 * more it runs at once, so that too many runs let none end in time.
 */
export class AimdLoadLimit implements LoadLimit {
  private allowed: number;

  /** Runs that must end before the limit shrinks again, as they started under the old one. */
  private untilShrink = 0;

  private constructor(private readonly opts: LoadLimitOptions) {
    this.allowed = opts.maxInFlight;
  }

  /** Makes a limit that allows the most. */
  static create(opts: LoadLimitOptions): AimdLoadLimit {
    return new AimdLoadLimit(opts);
  }

  /** Most runs at once now. */
  readonly getLimit = (): number => Math.floor(this.allowed);

  /** Learns from a run that ended whole or was cut at its deadline. */
  readonly onEnded = (run: LoadSample): void => {
    this.untilShrink = Math.max(0, this.untilShrink - 1);
    const share = run.runMs / Math.max(1, run.budgetMs);
    if (share > SLOW_SHARE && run.inFlight > this.opts.minInFlight) {
      this.shrink();
    } else if (share < FAST_SHARE && run.inFlight * 2 >= this.allowed) {
      this.allowed = Math.min(this.opts.maxInFlight, this.allowed + 1 / this.allowed);
    }
  };

  private shrink(): void {
    if (this.untilShrink > 0) {
      return;
    }
    this.untilShrink = Math.ceil(this.allowed);
    this.allowed = Math.max(this.opts.minInFlight, this.allowed * SHRINKAGE);
  }
}

/** A limit that never changes: the naive policy that measurements compare with. */
export function createFixedLoadLimit(opts: LoadLimitOptions): LoadLimit {
  return { getLimit: () => opts.maxInFlight, onEnded: () => {} };
}
