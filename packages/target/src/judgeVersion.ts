import type { StartTimes, VersionComparison, VersionRuns } from '@galenatiller/types';

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

/** Runs of the new version that are needed to call it bad by its lost runs, or by the starts of its streams. */
const MIN_LOST_RUNS_TO_REJECT = 12;
const MIN_STARTS_TO_REJECT = 12;

/** Runs with a start that are needed to keep a new version from being called good. */
const MIN_STARTS_TO_DOUBT = 4;

/** How much more than chance has to speak against a version before its waits are called bad. */
export interface JudgementCaution {
  /** Lost runs of the new version that are needed. */
  readonly minLost: number;
  /** Standard deviations by which the lost runs may exceed the usual share. */
  readonly lostDeviations: number;
  /** Standard errors by which a mean time to the first event may exceed the usual one. */
  readonly startDeviations: number;
}

/** Standard deviations by which the failures of a few runs may exceed the usual share. */
const FAILURE_DEVIATIONS = 1.5;

/** Caution of a judgement on a version that is on trial for a limited time. */
const DEFAULT_CAUTION: JudgementCaution = {
  minLost: 0,
  lostDeviations: FAILURE_DEVIATIONS,
  startDeviations: 1,
};

/**
 * Compares a new version with the old one by the pace, the failures and the lost runs, and by the times
 * to the first event of streams.
 */
export function judgeVersion(opts: JudgeVersionOptions): VersionJudgement {
  const { total, routes } = opts;
  // Routes differ in their prompts, so the starts of their streams are only compared by route.
  if (
    [total, ...routes].some(isBad) ||
    routes.some((runs) => startsFarLater(runs, DEFAULT_CAUTION))
  ) {
    return 'bad';
  }
  const isProved =
    (hasPaces(total) || countStarts(total) >= MIN_RUNS_TO_REJECT) &&
    total.newRuns.runs >= MIN_RUNS_TO_ACCEPT &&
    isWithinAccepted(total);
  const isSuspect =
    routes.some(startsLater) ||
    routes
      .filter(({ newRuns }) => newRuns.runs >= MIN_RUNS_TO_ACCEPT)
      .some((route) => !isWithinAccepted(route));
  return isProved && !isSuspect ? 'good' : 'unproved';
}

/**
 * Compares two versions on one route only by what their callers wait for: the runs that were lost, and
 * the times to the first event of streams.
 */
export function judgeWaits(runs: VersionComparison, caution = DEFAULT_CAUTION): VersionJudgement {
  if (losesOften(runs, caution) || startsFarLater(runs, caution)) {
    return 'bad';
  }
  return startsLater(runs) || !isShareAccepted(runs, getLostShare) ? 'unproved' : 'good';
}

function isBad(runs: VersionComparison): boolean {
  const { newRuns } = runs;
  const failsOften =
    newRuns.runs >= MIN_RUNS_TO_REJECT &&
    newRuns.failures >= MIN_FAILURES_TO_REJECT &&
    getMore(runs, getFailureShare) >= REJECTED_FAILURE_SHARE + getMargin(runs, getFailureShare);
  return (
    failsOften ||
    losesOften(runs, DEFAULT_CAUTION) ||
    (hasPaces(runs) && getPaceFactor(runs) >= REJECTED_PACE_FACTOR)
  );
}

function losesOften(runs: VersionComparison, caution: JudgementCaution): boolean {
  const { newRuns } = runs;
  const marginShare = getMargin(runs, getLostShare, caution.lostDeviations);
  return (
    newRuns.runs >= MIN_LOST_RUNS_TO_REJECT &&
    (newRuns.lost ?? 0) >= caution.minLost &&
    getMore(runs, getLostShare) >= REJECTED_FAILURE_SHARE + marginShare
  );
}

function isWithinAccepted(runs: VersionComparison): boolean {
  return (
    (!hasPaces(runs) || getPaceFactor(runs) <= ACCEPTED_PACE_FACTOR) &&
    [getFailureShare, getLostShare].every((getShare) => isShareAccepted(runs, getShare))
  );
}

function isShareAccepted(runs: VersionComparison, getShare: GetShare): boolean {
  return getMore(runs, getShare) <= ACCEPTED_FAILURE_SHARE + getMargin(runs, getShare);
}

/** Whether the streams of the new version provably start several times later. */
function startsFarLater(runs: VersionComparison, caution: JudgementCaution): boolean {
  const { starts } = runs.newRuns;
  if (!starts || countStarts(runs) < MIN_RUNS_TO_REJECT || starts.count < MIN_STARTS_TO_REJECT) {
    return false;
  }
  const leastMs = getStartMs(starts) - caution.startDeviations * getStartErrorMs(starts);
  return (
    leastMs >= REJECTED_PACE_FACTOR * getStartMs(runs.oldRuns.starts) && exceedsAllowance(runs)
  );
}

/** Whether the streams of the new version seem to start later, by more than their caches explain. */
function startsLater(runs: VersionComparison): boolean {
  const { newRuns, oldRuns } = runs;
  return (
    countStarts(runs) >= MIN_STARTS_TO_DOUBT &&
    getStartMs(newRuns.starts) > ACCEPTED_PACE_FACTOR * getStartMs(oldRuns.starts) &&
    exceedsAllowance(runs)
  );
}

function exceedsAllowance({ newRuns, oldRuns }: VersionComparison): boolean {
  const allowanceMs =
    (newRuns.starts?.allowanceSumMs ?? 0) / Math.max(1, newRuns.starts?.count ?? 0);
  return getStartMs(newRuns.starts) - getStartMs(oldRuns.starts) > allowanceMs;
}

/** Number of runs with a start of the version that has fewer of them. */
function countStarts({ newRuns, oldRuns }: VersionComparison): number {
  return Math.min(newRuns.starts?.count ?? 0, oldRuns.starts?.count ?? 0);
}

function getStartMs(starts: StartTimes | undefined): number {
  return (starts?.sumMs ?? 0) / Math.max(1, starts?.count ?? 0);
}

/** Standard error of the mean time to the first event. */
function getStartErrorMs(starts: StartTimes): number {
  const varianceMs2 = starts.squareSumMs2 / starts.count - getStartMs(starts) ** 2;
  return Math.sqrt(Math.max(0, varianceMs2) / starts.count);
}

function hasPaces({ newRuns, oldRuns }: VersionComparison): boolean {
  return Math.min(newRuns.measured, oldRuns.measured) >= MIN_RUNS_TO_REJECT;
}

function getPaceFactor({ newRuns, oldRuns }: VersionComparison): number {
  return getPaceMs(newRuns) / getPaceMs(oldRuns);
}

type GetShare = (runs: VersionRuns) => number;

function getMore({ newRuns, oldRuns }: VersionComparison, getShare: GetShare): number {
  return getShare(newRuns) - getShare(oldRuns);
}

/** Share by which a few runs of a version exceed the old one's share by chance. */
function getMargin(
  { newRuns, oldRuns }: VersionComparison,
  getShare: GetShare,
  deviations = FAILURE_DEVIATIONS,
): number {
  const share = getShare(oldRuns);
  return deviations * Math.sqrt((share * (1 - share)) / Math.max(1, newRuns.runs));
}

function getFailureShare({ runs, failures }: VersionRuns): number {
  return failures / Math.max(1, runs);
}

function getLostShare({ runs, lost = 0 }: VersionRuns): number {
  return lost / Math.max(1, runs);
}

function getPaceMs({ measured, paceSumMs }: VersionRuns): number {
  return paceSumMs / Math.max(1, measured);
}
