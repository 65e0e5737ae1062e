/** Client of the platform's key-value store: compare-and-swap, leases and watches. */
export { CallBudget, type CallBudgetOptions } from './callBudget.js';
export type { CallCounts } from './callStore.js';
export type { SwapOptions } from './compareAndSwap.js';
export { createHttpTransport, type HttpTransport } from './createHttpTransport.js';
export { jitteredDelayMs, type JitteredDelayOptions } from './jitteredDelayMs.js';
export { StoreClient, type StoreClientOptions } from './storeClient.js';
export type { ClaimResult, RunCompletion, RunName, RunRequest } from './runRecordTypes.js';
export { RUN_RECORD_RETENTION_MS, RunRecords, type RunRecordsOptions } from './runRecords.js';
export type * from './storeTypes.js';
export { WatchHub, type WatchHubOptions } from './watchHub.js';
export type { WatchOptions } from './watchPrefix.js';
export { type MirrorEvent, PrefixMirror, type PrefixMirrorOptions } from './prefixMirror.js';
export type * from './prefixSource.js';
export { type MirrorObserver, PrefixRelay, type PrefixRelayOptions } from './relay/prefixRelay.js';
export {
  createRelayedSource,
  type RelayedSourceOptions,
  type RelayEvent,
  type RelayLink,
} from './relay/relayedSource.js';
export type { RelayRequest, RelayResponse } from './relay/relayTypes.js';
export type { EntryHandlers, KnownAndRead, EntriesRead } from './restoredEntries.js';
export { RestoredEntries, type RestoredEntriesOptions } from './restoredEntries.js';
export { StatedEra, type StatedEraEvent, type StatedEraOptions } from './statedEra.js';
export { type Member, readMember } from './member.js';
export type { LeaseClient, OwnLease } from './leaseClient.js';
export { Membership, type MembershipOptions } from './membership.js';
export { MEMBER_LEASE_MS } from './ownRegistration.js';
