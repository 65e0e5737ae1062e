import type { VersionRuns } from '@galenatiller/types';

/** Options of {@link judgeVersion}. */
export interface JudgeVersionOptions {
  readonly newRuns: VersionRuns;
  readonly oldRuns: VersionRuns;
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

/** Compares a new version with the old one by the pace and the failures of their runs. */
export function judgeVersion(opts: JudgeVersionOptions): VersionJudgement {
  const { newRuns, oldRuns } = opts;
  const moreFailures = getFailureShare(newRuns) - getFailureShare(oldRuns);
  const paceFactor = getPaceMs(newRuns) / getPaceMs(oldRuns);
  const hasPaces = Math.min(newRuns.measured, oldRuns.measured) >= MIN_RUNS_TO_REJECT;
  const failsOften =
    newRuns.runs >= MIN_RUNS_TO_REJECT &&
    newRuns.failures >= MIN_FAILURES_TO_REJECT &&
    moreFailures >= REJECTED_FAILURE_SHARE;
  if (failsOften || (hasPaces && paceFactor >= REJECTED_PACE_FACTOR)) {
    return 'bad';
  }
  const isGood =
    hasPaces &&
    newRuns.runs >= MIN_RUNS_TO_ACCEPT &&
    paceFactor <= ACCEPTED_PACE_FACTOR &&
    moreFailures <= ACCEPTED_FAILURE_SHARE;
  return isGood ? 'good' : 'unproved';
}

function getFailureShare({ runs, failures }: VersionRuns): number {
  return failures / Math.max(1, runs);
}

function getPaceMs({ measured, paceSumMs }: VersionRuns): number {
  return paceSumMs / Math.max(1, measured);
}
