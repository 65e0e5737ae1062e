/** Client of model engines, with the limits and records that protect engines from overload. */
export { ColdStartLimit, type ColdStartLimitOptions } from './coldStartLimit.js';
export { CrashHistory, type CrashHistoryOptions, type SharedCrashes } from './crashHistory.js';
export {
  CrashRegistry,
  type CrashRegistryOptions,
  type CrashRecord,
  type CrashStatus,
} from './crashRegistry.js';
export { createFixedLimit } from './createFixedLimit.js';
export type { EngineLoad, EngineOrder } from './engineOrder.js';
export { FencingGuard, type ForwardOptions } from './fencingGuard.js';
export { computeFingerprint } from './computeFingerprint.js';
export { followCacheEvents, type FollowCacheEventsOptions } from './followCacheEvents.js';
export {
  type CacheEvent,
  PrefixCacheTracker,
  type PrefixCacheTrackerOptions,
  type PromptPrefixes,
} from './prefixCacheTracker.js';
export { computePrefixFingerprints } from './computePrefixFingerprints.js';
export { computePrefixHashes } from './computePrefixHashes.js';
export { runGeneration, type RunGenerationOptions } from './runGeneration.js';
export { sendEngineOrder, type SendEngineOrderOptions } from './sendEngineOrder.js';
export type { EndedRun, RunEndKind, RunTicket, ConcurrencyLimit } from './concurrencyLimit.js';
export { pollEngine, type PollEngineOptions } from './pollEngine.js';
