/** Weight of the last run in the smoothed sums. */
const SMOOTHING = 0.1;

/** An estimate without new runs halves in this time, so that refusals can't keep it up. */
const HALF_LIFE_MS = 10_000;

/** Spread of token counts, in tokens squared, under which no slope can be told. */
const MIN_VARIANCE = 1;

/** Standard deviations of a run that make its margin. */
const MARGIN_DEVIATIONS = 1.5;

/** A run to come; `tokens` is what its order asks for, 0 when it generates nothing. */
export interface UpcomingRun {
  readonly stage: string;
  readonly tokens: number;
  readonly nowMs: number;
}

/** A run that ended by itself, or was cut after `runMs`, for instance at its deadline. */
export interface ObservedRun extends UpcomingRun {
  readonly runMs: number;
  readonly ending: 'whole' | 'cut';
}

/** What is expected of a run; both are 0 when nothing is known. */
export interface RunEstimate {
  readonly expectedRunMs: number;
  /** How much longer a run may easily take. */
  readonly safetyMarginMs: number;
}

/** Smoothed sums of the runs of one stage. */
interface StageRuns {
  readonly meanTokens: number;
  readonly meanMs: number;
  readonly variance: number;
  readonly covariance: number;
  /** Mean square of the error, in milliseconds squared. */
  readonly squareErrorMs2: number;
  readonly seenAtMs: number;
}

/** Run times on one target, smoothed by stage and by the tokens that were asked for. */
export class RunTimeEstimator {
  private readonly stages = new Map<string, StageRuns>();

  private constructor() {}

  /** Makes run times that know nothing. */
  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /** Takes note of a run; of a cut one only if it shows that runs have become longer. */
  observe(run: ObservedRun): void {
    const before = this.stages.get(run.stage);
    if (run.ending === 'cut' && (!before || run.runMs <= this.estimate(run).expectedRunMs)) {
      return;
    }
    this.stages.set(run.stage, before ? smooth(before, run) : firstRun(run));
  }

  /** What is expected of a run. */
  estimate(run: UpcomingRun): RunEstimate {
    const runs = this.stages.get(run.stage);
    if (!runs) {
      return { expectedRunMs: 0, safetyMarginMs: 0 };
    }
    const ageMs = Math.max(0, run.nowMs - runs.seenAtMs);
    const freshness = ageMs <= HALF_LIFE_MS ? 1 : 2 ** (1 - ageMs / HALF_LIFE_MS);
    return {
      expectedRunMs: expectedOf(runs, run) * freshness,
      safetyMarginMs: Math.sqrt(runs.squareErrorMs2) * MARGIN_DEVIATIONS * freshness,
    };
  }
}

function firstRun(run: ObservedRun): StageRuns {
  return {
    meanTokens: run.tokens,
    meanMs: run.runMs,
    variance: 0,
    covariance: 0,
    squareErrorMs2: 0,
    seenAtMs: run.nowMs,
  };
}

/** Exponentially weighted means, variance and covariance, and the error that they leave. */
function smooth(before: StageRuns, run: ObservedRun): StageRuns {
  const tokensOff = run.tokens - before.meanTokens;
  const timeOffMs = run.runMs - before.meanMs;
  const keep = 1 - SMOOTHING;
  const runs = {
    meanTokens: before.meanTokens + SMOOTHING * tokensOff,
    meanMs: before.meanMs + SMOOTHING * timeOffMs,
    variance: keep * (before.variance + SMOOTHING * tokensOff * tokensOff),
    covariance: keep * (before.covariance + SMOOTHING * tokensOff * timeOffMs),
    squareErrorMs2: before.squareErrorMs2,
    seenAtMs: run.nowMs,
  };
  // The first expectations are guesses; only what the sums can't explain is an error.
  const errorMs = run.runMs - expectedOf(runs, run);
  return { ...runs, squareErrorMs2: keep * before.squareErrorMs2 + SMOOTHING * errorMs * errorMs };
}

function expectedOf(runs: StageRuns, run: UpcomingRun): number {
  return Math.max(0, runs.meanMs + slopeOf(runs) * (run.tokens - runs.meanTokens));
}

/** Milliseconds for a token. */
function slopeOf(runs: StageRuns): number {
  if (runs.variance < MIN_VARIANCE) {
    return runs.meanTokens > 0 ? runs.meanMs / runs.meanTokens : 0;
  }
  return Math.max(0, runs.covariance / runs.variance);
}
