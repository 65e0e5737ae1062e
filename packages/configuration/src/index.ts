/** Keeps the configuration in the store in shards under one revision, and follows it. */
export { adoptFromPeer, type AdoptFromPeerOptions, type PeerOffer } from './adoptFromPeer.js';
export { WATCHED_PREFIX } from './configurationKeys.js';
export { followConfiguration, type FollowConfigurationOptions } from './followConfiguration.js';
export type * from './headTypes.js';
export {
  type AdvanceResult,
  type AdvanceOptions,
  ActiveConfiguration,
  type ActiveConfigurationOptions,
} from './activeConfiguration.js';
export { indexRules, type IndexRulesOptions } from './indexRules.js';
export {
  publishConfiguration,
  type PublishConfigurationOptions,
  type PublishResult,
  type PublishFailure,
} from './publishConfiguration.js';
export { type AcceptedRules, readConfiguration } from './readConfiguration.js';
export { readHead } from './readHead.js';
