/** Talks to model engines, and decides how much load one can take. */
export { ColdStart, type ColdStartOptions } from './coldStart.js';
export {
  CrashLedger,
  type CrashLedgerOptions,
  type CrashRecord,
  type CrashVerdict,
} from './crashLedger.js';
export { createFixedLimit } from './createFixedLimit.js';
export type { EngineLoad, EngineOrder } from './engineOrder.js';
export { FencingGuard, type PassOptions } from './fencingGuard.js';
export { fingerprint } from './fingerprint.js';
export { followCacheEvents, type FollowCacheEventsOptions } from './followCacheEvents.js';
export {
  type CacheEvent,
  PrefixCache,
  type PrefixCacheOptions,
  type PrefixScoreOptions,
} from './prefixCache.js';
export { prefixHashes } from './prefixHashes.js';
export { runGeneration, type RunGenerationOptions } from './runGeneration.js';
export { sendEngineOrder, type SendEngineOrderOptions } from './sendEngineOrder.js';
export type { RunEnded, RunEndKind, RunTicket, TargetLimit } from './targetLimit.js';
export { watchEngine, type WatchEngineOptions } from './watchEngine.js';
