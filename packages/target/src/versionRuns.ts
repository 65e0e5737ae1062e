import type { StartTimes, VersionComparison, VersionRuns } from '@galenatiller/types';

import type { VersionRun } from './versionRun.js';

const NO_STARTS: StartTimes = { count: 0, sumMs: 0, squareSumMs2: 0, allowanceSumMs: 0 };

const NO_RUNS: VersionRuns = {
  runs: 0,
  failures: 0,
  measured: 0,
  paceSumMs: 0,
  lost: 0,
  starts: NO_STARTS,
};

/** The comparison of two versions before any run. */
export const NO_COMPARISON: VersionComparison = { newRuns: NO_RUNS, oldRuns: NO_RUNS };

/** What was seen of both versions of a rollout, by the name of the route. */
export type RunsByRoute = ReadonlyMap<string, VersionComparison>;

/** One run in the form in which runs are added up. */
export function toVersionRuns(run: VersionRun): VersionRuns {
  const { ending, paceMs, start } = run;
  return {
    runs: 1,
    failures: ending === 'failed' ? 1 : 0,
    measured: paceMs === undefined ? 0 : 1,
    paceSumMs: paceMs ?? 0,
    lost: ending === 'lost' ? 1 : 0,
    starts: start
      ? {
          count: 1,
          sumMs: start.tookMs,
          squareSumMs2: start.tookMs ** 2,
          allowanceSumMs: start.allowanceMs,
        }
      : NO_STARTS,
  };
}

/** Adds runs of the versions to those of a route. */
export function addToRoute(
  byRoute: RunsByRoute,
  route: string,
  added: Partial<VersionComparison>,
): RunsByRoute {
  const before = byRoute.get(route) ?? NO_COMPARISON;
  return new Map(byRoute).set(route, addComparisons(before, { ...NO_COMPARISON, ...added }));
}

/** Adds up what was seen on all routes. */
export function sumRoutes(byRoute: RunsByRoute): VersionComparison {
  return [...byRoute.values()].reduce(addComparisons, NO_COMPARISON);
}

/** Adds the runs of two comparisons. */
export function addComparisons(
  left: VersionComparison,
  right: VersionComparison,
): VersionComparison {
  return {
    newRuns: addRuns(left.newRuns, right.newRuns),
    oldRuns: addRuns(left.oldRuns, right.oldRuns),
  };
}

function addRuns(left: VersionRuns, right: VersionRuns): VersionRuns {
  return {
    runs: left.runs + right.runs,
    failures: left.failures + right.failures,
    measured: left.measured + right.measured,
    paceSumMs: left.paceSumMs + right.paceSumMs,
    lost: (left.lost ?? 0) + (right.lost ?? 0),
    starts: addStarts(left.starts ?? NO_STARTS, right.starts ?? NO_STARTS),
  };
}

function addStarts(left: StartTimes, right: StartTimes): StartTimes {
  return {
    count: left.count + right.count,
    sumMs: left.sumMs + right.sumMs,
    squareSumMs2: left.squareSumMs2 + right.squareSumMs2,
    allowanceSumMs: left.allowanceSumMs + right.allowanceSumMs,
  };
}

/** Halves what is known of a version, so that older runs count less than those to come. */
export function halveRuns({
  runs,
  failures,
  measured,
  paceSumMs,
  lost = 0,
  starts = NO_STARTS,
}: VersionRuns): VersionRuns {
  return {
    runs: runs / 2,
    failures: failures / 2,
    measured: measured / 2,
    paceSumMs: paceSumMs / 2,
    lost: lost / 2,
    starts: {
      count: starts.count / 2,
      sumMs: starts.sumMs / 2,
      squareSumMs2: starts.squareSumMs2 / 2,
      allowanceSumMs: starts.allowanceSumMs / 2,
    },
  };
}
