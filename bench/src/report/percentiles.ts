import { build } from 'hdr-histogram-js';

/** Percentiles of a list of times in milliseconds; all 0 for an empty list. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** The histogram holds integers: hundredths of a millisecond. */
const HISTOGRAM_STEPS_PER_MS = 100;

/** Computes percentiles of times in milliseconds, to three significant digits. */
export function computePercentiles(timesMs: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  timesMs.forEach((timeMs) => {
    histogram.recordValue(Math.max(0, Math.round(timeMs * HISTOGRAM_STEPS_PER_MS)));
  });
  const at = (percentile: number): number =>
    timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / HISTOGRAM_STEPS_PER_MS;
  return { count: timesMs.length, p50: at(50), p95: at(95), p99: at(99) };
}
