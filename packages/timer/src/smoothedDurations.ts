/** Weight of a new sample in the exponential moving average. */
const SAMPLE_WEIGHT = 0.1;

/**
 * An average without new samples expires after this time. Otherwise an average so high that all work
 * is refused would never be corrected.
 */
const EXPIRE_AFTER_MS = 3_000;

/** About one duration in twenty is farther from the mean on one side than this many mean deviations. */
const EXTREME_DEVIATIONS = 2;

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

/** Options of {@link SmoothedDurations.estimateMs}, `longMs` and `shortMs`. */
export interface EstimateDurationOptions {
  readonly name: string;
  /** Monotonic time. */
  readonly nowMs: number;
}

interface Average {
  readonly durationMs: number;
  readonly deviationMs: number;
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
    const before = this.averages.get(name) ?? { durationMs, deviationMs: 0 };
    const averageMs = before.durationMs + SAMPLE_WEIGHT * (durationMs - before.durationMs);
    const distanceMs = Math.abs(durationMs - averageMs);
    this.averages.set(name, {
      durationMs: averageMs,
      deviationMs: before.deviationMs + SAMPLE_WEIGHT * (distanceMs - before.deviationMs),
      updatedAtMs: nowMs,
    });
  }

  /** Expected duration in milliseconds; 0 without recent samples. */
  estimateMs(opts: EstimateDurationOptions): number {
    return this.findRecent(opts)?.durationMs ?? 0;
  }

  /** Duration that few operations exceed; 0 without recent samples. */
  longMs(opts: EstimateDurationOptions): number {
    const { durationMs = 0, deviationMs = 0 } = this.findRecent(opts) ?? {};
    return durationMs + EXTREME_DEVIATIONS * deviationMs;
  }

  /** Duration that few operations stay below; 0 without recent samples. */
  shortMs(opts: EstimateDurationOptions): number {
    const { durationMs = 0, deviationMs = 0 } = this.findRecent(opts) ?? {};
    return Math.max(0, durationMs - EXTREME_DEVIATIONS * deviationMs);
  }

  private findRecent({ name, nowMs }: EstimateDurationOptions): Average | undefined {
    const average = this.averages.get(name);
    return average && nowMs - average.updatedAtMs <= this.expireAfterMs ? average : undefined;
  }
}
