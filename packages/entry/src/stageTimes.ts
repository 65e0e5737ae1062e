/** Weight of the last run in the smoothed run time. */
const SMOOTHING = 0.1;

/** A time without new runs is forgotten, so that refusals can't keep it up. */
const FORGET_AFTER_MS = 3_000;

/** A run of a stage that ended whole. */
export interface EndedStage {
  readonly stage: string;
  readonly runMs: number;
  readonly nowMs: number;
}

interface StageTime {
  readonly runMs: number;
  readonly seenAtMs: number;
}

/** Run times of stages as an entry has seen them lately. */
export class StageTimes {
  private readonly times = new Map<string, StageTime>();

  private constructor() {}

  /** Makes times that know nothing. */
  static create(): StageTimes {
    return new StageTimes();
  }

  /** Learns from a run. */
  observe({ stage, runMs, nowMs }: EndedStage): void {
    const before = this.times.get(stage)?.runMs ?? runMs;
    this.times.set(stage, { runMs: before + SMOOTHING * (runMs - before), seenAtMs: nowMs });
  }

  /** Expected run time of a stage in milliseconds; 0 when nothing is known. */
  expect(opts: { readonly stage: string; readonly nowMs: number }): number {
    const time = this.times.get(opts.stage);
    return time && opts.nowMs - time.seenAtMs <= FORGET_AFTER_MS ? time.runMs : 0;
  }
}
