/** The router role: accepts calls, runs their stages and sends them directly to targets. */
export { LimitedCallers, type LimitedCallersOptions } from './limitedCallers.js';
export type { ProviderPorts } from './createProviderDuties.js';
export { findConfigurationProblems } from './checkRoutes.js';
export { createStoppingError } from './endAttempts.js';
export { createRouter, type Router, type RouterOptions } from './createRouter.js';
export type {
  OperatorEntry,
  OperatorEntryDecoder,
  RolloutStatusEntries,
  TargetEntryDecoder,
} from './entryDecoders.js';
export { logStoreEra } from './logEvents.js';
export type {
  BodyFailure,
  CallerExchange,
  FreeResults,
  IdentifyTarget,
  ProbeTarget,
  ResponseHead,
  SendCall,
  SendCallOptions,
  SendResponse,
  SendResult,
  SenderState,
  TargetClient,
} from './ports.js';
export { type FrontEnd, runRouter, type RunRouterOptions } from './runRouter.js';
