import type { VersionComparison, VersionRuns } from '@galenatiller/types';

const NO_RUNS: VersionRuns = { runs: 0, failures: 0, measured: 0, paceSumMs: 0 };

const NO_COMPARISON: VersionComparison = { newRuns: NO_RUNS, oldRuns: NO_RUNS };

/** What was seen of both versions of a rollout, by the name of the route. */
export type RunsByRoute = ReadonlyMap<string, VersionComparison>;

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

function addComparisons(left: VersionComparison, right: VersionComparison): VersionComparison {
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
  };
}
