/** The router role: takes calls in, runs their stages and sends them to targets directly. */
export { createRouter, type Router, type RouterOptions } from './createRouter.js';
export type { OperatorEntryDecoder, OperatorEntry, TargetEntryDecoder } from './entryDecoders.js';
export type {
  ResponseHead,
  SendResponse,
  BodyFailure,
  CallerExchange,
  FreeResults,
  SendCall,
  SendCallOptions,
  SendResult,
  TargetClient,
} from './ports.js';
export { type FrontEnd, runRouter, type RunRouterOptions } from './runRouter.js';
