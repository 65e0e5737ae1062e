import type { VersionComparison, VersionRuns } from '@galenatiller/types';

/** Options of {@link judgeVersion}. */
export interface JudgeVersionOptions {
  /** Runs on all routes. */
  readonly total: VersionComparison;
  /** Runs on each route; a version may be bad on one of them only. */
  readonly routes: readonly VersionComparison[];
}

/** Judgement on a new version; `unproved` until there are enough runs to call it good or bad. */
export type VersionJudgement = 'bad' | 'good' | 'unproved';

/** Runs of each version that are needed to call the new one bad. */
const MIN_RUNS_TO_REJECT = 6;

/** Runs of the new version that are needed to call it good. */
const MIN_RUNS_TO_ACCEPT = 12;

/** A new version with this multiple of the old one's pace is bad. */
const REJECTED_PACE_FACTOR = 2;

/** Up to this multiple of the old one's pace, a new version can be good. */
const ACCEPTED_PACE_FACTOR = 1.5;

/** A new version with this many failures, in a share that exceeds the old one's by this, is bad. */
const MIN_FAILURES_TO_REJECT = 3;
const REJECTED_FAILURE_SHARE = 0.15;

/** A new version whose failure share exceeds the old one's by no more than this can be good. */
const ACCEPTED_FAILURE_SHARE = 0.08;

/** Standard deviations by which the failures of a few runs may exceed the usual share. */
const FAILURE_DEVIATIONS = 1.5;

/** Compares a new version with the old one by the pace and the failures of their runs. */
export function judgeVersion(opts: JudgeVersionOptions): VersionJudgement {
  const { total, routes } = opts;
  if ([total, ...routes].some(isBad)) {
    return 'bad';
  }
  const isProved =
    hasPaces(total) && total.newRuns.runs >= MIN_RUNS_TO_ACCEPT && isWithinAccepted(total);
  const isSuspect = routes
    .filter(({ newRuns }) => newRuns.runs >= MIN_RUNS_TO_ACCEPT)
    .some((route) => hasPaces(route) && !isWithinAccepted(route));
  return isProved && !isSuspect ? 'good' : 'unproved';
}

function isBad(runs: VersionComparison): boolean {
  const { newRuns } = runs;
  const failsOften =
    newRuns.runs >= MIN_RUNS_TO_REJECT &&
    newRuns.failures >= MIN_FAILURES_TO_REJECT &&
    getMoreFailures(runs) >= REJECTED_FAILURE_SHARE + getFailureMargin(runs);
  return failsOften || (hasPaces(runs) && getPaceFactor(runs) >= REJECTED_PACE_FACTOR);
}

function isWithinAccepted(runs: VersionComparison): boolean {
  return (
    getPaceFactor(runs) <= ACCEPTED_PACE_FACTOR &&
    getMoreFailures(runs) <= ACCEPTED_FAILURE_SHARE + getFailureMargin(runs)
  );
}

function hasPaces({ newRuns, oldRuns }: VersionComparison): boolean {
  return Math.min(newRuns.measured, oldRuns.measured) >= MIN_RUNS_TO_REJECT;
}

function getPaceFactor({ newRuns, oldRuns }: VersionComparison): number {
  return getPaceMs(newRuns) / getPaceMs(oldRuns);
}

function getMoreFailures({ newRuns, oldRuns }: VersionComparison): number {
  return getFailureShare(newRuns) - getFailureShare(oldRuns);
}

/** Share of failures by which a few runs of a version exceed the old one's share by chance. */
function getFailureMargin({ newRuns, oldRuns }: VersionComparison): number {
  const share = getFailureShare(oldRuns);
  return FAILURE_DEVIATIONS * Math.sqrt((share * (1 - share)) / Math.max(1, newRuns.runs));
}

function getFailureShare({ runs, failures }: VersionRuns): number {
  return failures / Math.max(1, runs);
}

function getPaceMs({ measured, paceSumMs }: VersionRuns): number {
  return paceSumMs / Math.max(1, measured);
}
