import type { ScalingRange } from '@galenatiller/types';

/** Calls of a service in progress or waiting, over all routers, at a monotonic time. */
export interface DemandSample {
  readonly atMs: number;
  readonly calls: number;
}

/** The workers of a service in a zone; none in a zone that is lost. */
export interface ZoneWorkers {
  readonly zone: string;
  readonly workers: number;
  /** Calls that all of them together run at once. */
  readonly slots: number;
  /** The number that is ordered, or was found by this router. */
  readonly desired: number;
  /** Monotonic time of the last order, or when the number was found. */
  readonly changedAtMs: number;
}

/** Options of {@link decideScale}. */
export interface DecideScaleOptions {
  readonly range: ScalingRange;
  readonly zones: readonly ZoneWorkers[];
  /** Oldest first, about evenly spaced. */
  readonly samples: readonly DemandSample[];
  readonly nowMs: number;
}

/** Why a number of workers is ordered. */
export type ScaleReason = 'busy' | 'rising' | 'zone-lost' | 'idle' | 'out-of-range';

/** The number of workers to order in a zone. */
export interface ScaleDecision {
  readonly zone: string;
  readonly workers: number;
  readonly reason: ScaleReason;
  /** Calls that are expected when new workers would serve. */
  readonly expectedCalls: number;
}

/** Share of the slots that calls use on average, so that few of them wait. */
const UTILISATION = 0.7;

/** Shorter times show no trend in samples that are taken each second. */
const MIN_PERIOD_MS = 5_000;

/** Demand is taken for lasting that is reached for four fifths of the period. */
const LASTING_QUANTILE = 0.2;

/** Share by which lasting demand has to rise within a period to be taken for a trend. */
const MIN_RISE = 0.1;

/** The recent trend is that of the last two of so many parts of the period. */
const RECENT_PARTS = 4;

/** Periods without the need for a worker until it is drained. */
const IDLE_PERIODS = 3;

const MIN_IDLE_MS = 60_000;

/** Share of the workers of a zone that are drained at once. */
const MAX_DRAINED_SHARE = 0.1;

/**
 * Decides on the workers of one service. Demand counts once it has lasted for most of the time that a new
 * worker needs to start: for a shorter burst, workers would come too late. A trend is continued until
 * then. Workers are drained slowly, after a longer time without need for them.
 */
export function decideScale(opts: DecideScaleOptions): readonly ScaleDecision[] {
  const { range, zones } = opts;
  const live = zones.filter(({ workers }) => workers > 0);
  const forecast = findForecast(opts);
  if (!forecast || live.length === 0) {
    return [];
  }
  const isZoneLost = live.length < zones.length;
  const workers = sum(live.map((zone) => zone.workers));
  const callsPerWorker = (sum(live.map(({ slots }) => slots)) / workers) * UTILISATION;
  const toWorkers = (calls: number): number =>
    clamp(Math.ceil(calls / callsPerWorker / live.length), range);
  const wanted = toWorkers(forecast.expectedCalls);
  const highest = Math.max(wanted, toWorkers(findHighest(opts)));
  const { expectedCalls } = forecast;
  return live.flatMap(({ zone, desired, changedAtMs }): readonly ScaleDecision[] => {
    const inRange = clamp(desired, range);
    if (wanted > inRange) {
      const reason = forecast.isRising ? 'rising' : 'busy';
      return [{ zone, workers: wanted, reason: isZoneLost ? 'zone-lost' : reason, expectedCalls }];
    }
    if (inRange !== desired) {
      return [{ zone, workers: inRange, reason: 'out-of-range', expectedCalls }];
    }
    const drained = Math.max(1, Math.floor(desired * MAX_DRAINED_SHARE));
    const isSettled = opts.nowMs - changedAtMs >= periodMs(range);
    if (isZoneLost || !isSettled || !hasIdleHistory(opts) || highest > desired - drained) {
      return [];
    }
    return [{ zone, workers: desired - drained, reason: 'idle', expectedCalls }];
  });
}

/** Time for which samples are needed. */
export function historyMs(range: ScalingRange): number {
  return Math.max(MIN_IDLE_MS, IDLE_PERIODS * periodMs(range));
}

function periodMs({ bootMs }: ScalingRange): number {
  return Math.max(MIN_PERIOD_MS, bootMs);
}

interface Forecast {
  readonly expectedCalls: number;
  readonly isRising: boolean;
}

/** The demand when a worker that is ordered now would serve; undefined while too little is known. */
function findForecast({ range, samples, nowMs }: DecideScaleOptions): Forecast | undefined {
  const period = periodMs(range);
  const first = samples[0];
  if (!first || nowMs - first.atMs < period) {
    return undefined;
  }
  const lasting = findQuantile(samples, nowMs - period, nowMs);
  const isTrendKnown = nowMs - first.atMs >= 2 * period;
  const before = isTrendKnown ? findQuantile(samples, nowMs - 2 * period, nowMs - period) : lasting;
  const rise = lasting - before;
  const isRising = rise > MIN_RISE * Math.max(1, before);
  if (!isRising) {
    return { expectedCalls: lasting, isRising };
  }
  // The quantile of a rising demand is that of an earlier time.
  const aheadMs = period * (1 - LASTING_QUANTILE) + range.bootMs;
  const trend = lasting + (rise / period) * aheadMs;
  // After a step, demand is higher than before and rises no more.
  const partMs = period / RECENT_PARTS;
  const recent = findMean(samples, nowMs - partMs, nowMs);
  const recentRise = Math.max(0, recent - findMean(samples, nowMs - 2 * partMs, nowMs - partMs));
  const recentTrend = recent + (recentRise / partMs) * range.bootMs;
  const expectedCalls = Math.round(Math.max(lasting, Math.min(trend, recentTrend)));
  return { expectedCalls, isRising };
}

/** The highest demand of the time after which idle workers are drained. */
function findHighest({ range, samples, nowMs }: DecideScaleOptions): number {
  const sinceMs = nowMs - historyMs(range);
  return Math.max(0, ...samples.filter(({ atMs }) => atMs > sinceMs).map(({ calls }) => calls));
}

function hasIdleHistory({ range, samples, nowMs }: DecideScaleOptions): boolean {
  const first = samples[0];
  return first !== undefined && nowMs - first.atMs >= historyMs(range);
}

function findQuantile(
  samples: readonly DemandSample[],
  afterMs: number,
  throughMs: number,
): number {
  const calls = samples
    .filter(({ atMs }) => atMs > afterMs && atMs <= throughMs)
    .map((sample) => sample.calls)
    .sort((left, right) => left - right);
  return calls[Math.floor(calls.length * LASTING_QUANTILE)] ?? 0;
}

function findMean(samples: readonly DemandSample[], afterMs: number, throughMs: number): number {
  const calls = samples.filter(({ atMs }) => atMs > afterMs && atMs <= throughMs);
  return sum(calls.map((sample) => sample.calls)) / Math.max(1, calls.length);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function clamp(workers: number, { minWorkers, maxWorkers }: ScalingRange): number {
  return Math.min(maxWorkers, Math.max(minWorkers, workers));
}
