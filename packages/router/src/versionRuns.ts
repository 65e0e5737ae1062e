import type { VersionRuns } from '@galenatiller/types';

/** The runs of a version that was not seen yet. */
export const NO_RUNS: VersionRuns = { runs: 0, failures: 0, measured: 0, paceSumMs: 0 };

/** Adds up the runs of a version. */
export function addRuns(left: VersionRuns, right: VersionRuns): VersionRuns {
  return {
    runs: left.runs + right.runs,
    failures: left.failures + right.failures,
    measured: left.measured + right.measured,
    paceSumMs: left.paceSumMs + right.paceSumMs,
  };
}
