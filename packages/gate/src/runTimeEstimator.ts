/** Weight of the latest run in the moving averages. */
const SMOOTHING = 0.1;

/** An estimate without new runs decays with this half-life, so that refusals cannot sustain it. */
const HALF_LIFE_MS = 10_000;

/** Variance of token counts, in tokens squared, below which no slope can be estimated. */
const MIN_VARIANCE = 1;

/** Safety margin in standard deviations of the estimation error. */
const SAFETY_MARGIN_DEVIATIONS = 1.5;

/** A run to estimate. `tokens` is the requested number of tokens, 0 when none are generated. */
export interface UpcomingRun {
  readonly stage: string;
  readonly tokens: number;
  readonly nowMs: number;
}

/** A run that completed, or was cut off after `runMs`, for example at its deadline. */
export interface ObservedRun extends UpcomingRun {
  readonly runMs: number;
  readonly ending: 'completed' | 'cut-off';
}

/** Estimate for a run. Both values are 0 when there is no data. */
export interface RunEstimate {
  readonly expectedRunMs: number;
  /** Time by which a run may well exceed the expected run time. */
  readonly safetyMarginMs: number;
}

/** Exponentially weighted statistics of the runs of one stage. */
interface StageStatistics {
  readonly meanTokens: number;
  readonly meanMs: number;
  readonly variance: number;
  readonly covariance: number;
  /** Mean squared estimation error, in milliseconds squared. */
  readonly squareErrorMs2: number;
  readonly updatedAtMs: number;
}

/** Estimates run times on one target from the stage and the number of requested tokens. */
export class RunTimeEstimator {
  private readonly stages = new Map<string, StageStatistics>();

  private constructor() {}

  /** Creates an estimator without data. */
  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /** Records a run. A run that was cut off counts only if it took longer than expected. */
  observe(run: ObservedRun): void {
    const previous = this.stages.get(run.stage);
    if (run.ending === 'cut-off' && (!previous || run.runMs <= this.estimate(run).expectedRunMs)) {
      return;
    }
    this.stages.set(run.stage, previous ? updateStatistics(previous, run) : createStatistics(run));
  }

  /** Estimates a run. */
  estimate(run: UpcomingRun): RunEstimate {
    const statistics = this.stages.get(run.stage);
    if (!statistics) {
      return { expectedRunMs: 0, safetyMarginMs: 0 };
    }
    const ageMs = Math.max(0, run.nowMs - statistics.updatedAtMs);
    const freshness = ageMs <= HALF_LIFE_MS ? 1 : 2 ** (1 - ageMs / HALF_LIFE_MS);
    return {
      expectedRunMs: estimateRunMs(statistics, run) * freshness,
      safetyMarginMs: Math.sqrt(statistics.squareErrorMs2) * SAFETY_MARGIN_DEVIATIONS * freshness,
    };
  }
}

function createStatistics(run: ObservedRun): StageStatistics {
  return {
    meanTokens: run.tokens,
    meanMs: run.runMs,
    variance: 0,
    covariance: 0,
    squareErrorMs2: 0,
    updatedAtMs: run.nowMs,
  };
}

/** Updates the means, variance and covariance, and the remaining estimation error. */
function updateStatistics(previous: StageStatistics, run: ObservedRun): StageStatistics {
  const tokensDeviation = run.tokens - previous.meanTokens;
  const timeDeviationMs = run.runMs - previous.meanMs;
  const previousWeight = 1 - SMOOTHING;
  const statistics = {
    meanTokens: previous.meanTokens + SMOOTHING * tokensDeviation,
    meanMs: previous.meanMs + SMOOTHING * timeDeviationMs,
    variance: previousWeight * (previous.variance + SMOOTHING * tokensDeviation * tokensDeviation),
    covariance:
      previousWeight * (previous.covariance + SMOOTHING * tokensDeviation * timeDeviationMs),
    squareErrorMs2: previous.squareErrorMs2,
    updatedAtMs: run.nowMs,
  };
  // Early estimates are unreliable, so the error is measured against the updated statistics.
  const errorMs = run.runMs - estimateRunMs(statistics, run);
  return {
    ...statistics,
    squareErrorMs2: previousWeight * previous.squareErrorMs2 + SMOOTHING * errorMs * errorMs,
  };
}

function estimateRunMs(statistics: StageStatistics, run: UpcomingRun): number {
  return Math.max(
    0,
    statistics.meanMs + estimateMsPerToken(statistics) * (run.tokens - statistics.meanTokens),
  );
}

/** Milliseconds per token. */
function estimateMsPerToken(statistics: StageStatistics): number {
  if (statistics.variance < MIN_VARIANCE) {
    return statistics.meanTokens > 0 ? statistics.meanMs / statistics.meanTokens : 0;
  }
  return Math.max(0, statistics.covariance / statistics.variance);
}
