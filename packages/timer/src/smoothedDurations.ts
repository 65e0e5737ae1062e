/** Weight of a new sample in the exponential moving average. */
const SAMPLE_WEIGHT = 0.1;

/**
 * An average without new samples expires after this time. Otherwise an average so high that all work
 * is refused would never be corrected.
 */
const EXPIRE_AFTER_MS = 3_000;

/** Options of {@link SmoothedDurations.create}. */
export interface SmoothedDurationsOptions {
  readonly expireAfterMs?: number;
}

/** Duration of an operation that completed. */
export interface DurationSample {
  /** Name of the operation, such as a stage or a service. */
  readonly name: string;
  readonly durationMs: number;
  /** Monotonic time at which it ended. */
  readonly nowMs: number;
}

interface Average {
  readonly durationMs: number;
  readonly updatedAtMs: number;
}

/** Exponential moving averages of recent durations, by name. */
export class SmoothedDurations {
  private readonly averages = new Map<string, Average>();

  private constructor(private readonly expireAfterMs: number) {}

  /** Creates averages without samples. */
  static create(opts: SmoothedDurationsOptions = {}): SmoothedDurations {
    return new SmoothedDurations(opts.expireAfterMs ?? EXPIRE_AFTER_MS);
  }

  /** Adds a sample to the average of its name. */
  observe({ name, durationMs, nowMs }: DurationSample): void {
    const before = this.averages.get(name)?.durationMs ?? durationMs;
    this.averages.set(name, {
      durationMs: before + SAMPLE_WEIGHT * (durationMs - before),
      updatedAtMs: nowMs,
    });
  }

  /** Expected duration in milliseconds; 0 without recent samples. */
  estimateMs(opts: { readonly name: string; readonly nowMs: number }): number {
    const average = this.averages.get(opts.name);
    const isRecent = average && opts.nowMs - average.updatedAtMs <= this.expireAfterMs;
    return isRecent ? average.durationMs : 0;
  }
}
