/** The router role: takes calls in, runs their stages and sends them to targets directly. */
export { createRouter, type Router, type RouterOptions } from './createRouter.js';
export type { OperatorEntries, OperatorEntry, TargetEntries } from './entryDecoders.js';
export type {
  AnswerHead,
  AnswerReply,
  BodyFailure,
  CallerExchange,
  FreeResults,
  SendCall,
  SendCallOptions,
  SendReply,
  TargetCalls,
} from './ports.js';
export { type FrontEnd, runRouter, type RunRouterOptions } from './runRouter.js';
