/** Weight of the last run in the smoothed sums. */
const SMOOTHING = 0.1;

/** An estimate without new runs halves in this time, so that refusals can't keep it up. */
const HALF_LIFE_MS = 10_000;

/** Spread of token counts, in tokens squared, under which no slope can be told. */
const MIN_VARIANCE = 1;

/** A run that ended; `tokens` is what its order asked for, 0 when it generates nothing. */
export interface ObservedRun {
  readonly stage: string;
  readonly tokens: number;
  readonly runMs: number;
  readonly nowMs: number;
}

/** A run to come. */
export type RunToCome = Omit<ObservedRun, 'runMs'>;

/** Smoothed sums of the runs of one stage. */
interface StageRuns {
  readonly meanTokens: number;
  readonly meanMs: number;
  readonly variance: number;
  readonly covariance: number;
  readonly seenAtMs: number;
}

/** Run times on one target, smoothed by stage and by the tokens that were asked for. */
export class RunTimes {
  private readonly stages = new Map<string, StageRuns>();

  private constructor() {}

  /** Makes run times that know nothing. */
  static create(): RunTimes {
    return new RunTimes();
  }

  /** Takes note of a run that ended well. */
  observe(run: ObservedRun): void {
    const before = this.stages.get(run.stage);
    this.stages.set(run.stage, before ? smooth(before, run) : firstRun(run));
  }

  /** Expected time of a run in milliseconds; 0 when nothing is known. */
  expect(run: RunToCome): number {
    const runs = this.stages.get(run.stage);
    if (!runs) {
      return 0;
    }
    const ageMs = Math.max(0, run.nowMs - runs.seenAtMs);
    const freshness = ageMs <= HALF_LIFE_MS ? 1 : 2 ** (1 - ageMs / HALF_LIFE_MS);
    return Math.max(0, runs.meanMs + slopeOf(runs) * (run.tokens - runs.meanTokens)) * freshness;
  }
}

function firstRun(run: ObservedRun): StageRuns {
  return {
    meanTokens: run.tokens,
    meanMs: run.runMs,
    variance: 0,
    covariance: 0,
    seenAtMs: run.nowMs,
  };
}

/** Exponentially weighted means, variance and covariance. */
function smooth(before: StageRuns, run: ObservedRun): StageRuns {
  const tokensOff = run.tokens - before.meanTokens;
  const timeOffMs = run.runMs - before.meanMs;
  const keep = 1 - SMOOTHING;
  return {
    meanTokens: before.meanTokens + SMOOTHING * tokensOff,
    meanMs: before.meanMs + SMOOTHING * timeOffMs,
    variance: keep * (before.variance + SMOOTHING * tokensOff * tokensOff),
    covariance: keep * (before.covariance + SMOOTHING * tokensOff * timeOffMs),
    seenAtMs: run.nowMs,
  };
}

/** Milliseconds for a token. */
function slopeOf(runs: StageRuns): number {
  if (runs.variance < MIN_VARIANCE) {
    return runs.meanTokens > 0 ? runs.meanMs / runs.meanTokens : 0;
  }
  return Math.max(0, runs.covariance / runs.variance);
}
