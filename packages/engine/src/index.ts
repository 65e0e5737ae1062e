/** Talks to model engines, and decides how much load one can take. */
export { ColdStart, type ColdStartOptions } from './coldStart.js';
export {
  CrashLedger,
  type CrashLedgerOptions,
  type CrashRecord,
  type CrashVerdict,
} from './crashLedger.js';
export { createFixedLimit } from './createFixedLimit.js';
export { fingerprint } from './fingerprint.js';
export {
  type CacheEvent,
  PrefixCache,
  type PrefixCacheOptions,
  type PrefixScoreOptions,
} from './prefixCache.js';
export { prefixHashes } from './prefixHashes.js';
export { runGeneration, type RunGenerationOptions } from './runGeneration.js';
export type { RunEnded, RunEndKind, RunTicket, TargetLimit } from './targetLimit.js';
