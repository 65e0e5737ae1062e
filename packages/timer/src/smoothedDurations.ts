/** Weight of the newest duration in the smoothed one. */
const SMOOTHING = 0.1;

/** A duration that is not observed again is forgotten, so that what it refuses can't keep it up. */
const FORGET_AFTER_MS = 3_000;

/** How long something took that ended whole. */
export interface DurationSample {
  /** What was timed, such as a stage or a service. */
  readonly name: string;
  readonly durationMs: number;
  /** Monotonic time of its end. */
  readonly nowMs: number;
}

interface SmoothedTime {
  readonly tookMs: number;
  readonly seenAtMs: number;
}

/** Smoothed durations, by name, as they were observed lately. */
export class SmoothedDurations {
  private readonly times = new Map<string, SmoothedTime>();

  private constructor() {}

  /** Makes times that know nothing. */
  static create(): SmoothedDurations {
    return new SmoothedDurations();
  }

  /** Learns from one duration. */
  observe({ name, durationMs: tookMs, nowMs }: DurationSample): void {
    const before = this.times.get(name)?.tookMs ?? tookMs;
    this.times.set(name, { tookMs: before + SMOOTHING * (tookMs - before), seenAtMs: nowMs });
  }

  /** Expected duration in milliseconds; 0 when nothing was observed lately. */
  estimateMs(opts: { readonly name: string; readonly nowMs: number }): number {
    const time = this.times.get(opts.name);
    return time && opts.nowMs - time.seenAtMs <= FORGET_AFTER_MS ? time.tookMs : 0;
  }
}
