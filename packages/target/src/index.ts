/**
 * What all kinds of targets have in common: the directory, health, rate limits across all nodes,
 * and the selection of a target.
 */
export { chooseTarget, type ChooseTargetOptions, type TargetChoice } from './chooseTarget.js';
export { ColdRateLimiter, type ColdRateLimiterOptions } from './coldRateLimiter.js';
export { CrashSuspects, type CrashSuspectsOptions } from './crashSuspects.js';
export { getStartKey } from './getStartKey.js';
export {
  type JudgementCaution,
  judgeVersion,
  type JudgeVersionOptions,
  judgeWaits,
  type VersionJudgement,
} from './judgeVersion.js';
export { RetryBudget, type RetryBudgetOptions } from './retryBudget.js';
export { SlidingWindowCounter, type SlidingWindowCounterOptions } from './slidingWindowCounter.js';
export type { TargetChange } from './targetChange.js';
export {
  type DirectoryChanges,
  type TargetEntry,
  TargetDirectory,
  type TargetDirectoryOptions,
} from './targetDirectory.js';
export {
  type ExchangeResult,
  type HealthEvent,
  TargetHealth,
  type TargetHealthOptions,
} from './targetHealth.js';
export {
  type NoticeSource,
  type TargetNoticeEvent,
  TargetNotices,
  type TargetNoticesOptions,
} from './targetNotices.js';
export { type TargetLoadEvent, TargetLoads, type TargetLoadsOptions } from './targetLoads.js';
export { SparePermits, type SparePermitsOptions } from './sparePermits.js';
export { type TargetStart, toTargetStart } from './targetStart.js';
export { computeStartAllowanceMs, type RunStart, type VersionRun } from './versionRun.js';
export {
  addComparisons,
  addToRoute,
  halveRuns,
  NO_COMPARISON,
  type RunsByRoute,
  sumRoutes,
  toVersionRuns,
} from './versionRuns.js';
