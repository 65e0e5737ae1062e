/** Options of {@link ProviderPace.create}. */
export interface ProviderPaceOptions {
  /** Calls per second that the provider accepts from all nodes. */
  readonly ratePerS: number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Half of the rate, shared by two duties that may have different holders. */
const RATE_SHARE = 0.25;

const BASE_DELAY_MS = 500;

/** Short enough that the report of a new window is still sent in time after a failure. */
const MAX_DELAY_MS = 4_000;

const MS_PER_S = 1_000;

/** When the next call of a duty to the provider may be sent. */
export class ProviderPace {
  private failures = 0;

  private nextAt = -Infinity;

  private constructor(private readonly opts: ProviderPaceOptions) {}

  /** Creates a pace at which a call may be sent at once. */
  static create(opts: ProviderPaceOptions): ProviderPace {
    return new ProviderPace(opts);
  }

  /** Monotonic time from which the next call may be sent. */
  get nextAtMs(): number {
    return this.nextAt;
  }

  /** Records that a call has ended at a monotonic time. */
  record(opts: { readonly isFailed: boolean; readonly nowMs: number }): void {
    this.failures = opts.isFailed ? this.failures + 1 : 0;
    const intervalMs = MS_PER_S / (this.opts.ratePerS * RATE_SHARE);
    this.nextAt = opts.nowMs + Math.max(intervalMs, this.backOffMs());
  }

  /** Exponential back-off, at least half of it. */
  private backOffMs(): number {
    if (this.failures === 0) {
      return 0;
    }
    const limitMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (this.failures - 1));
    return limitMs * (0.5 + 0.5 * this.opts.random());
  }
}
