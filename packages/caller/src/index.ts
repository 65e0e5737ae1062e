/** HTTP server for callers: requests, streamed responses and refusals. */
export type * from './call.js';
export {
  type LimitDecision,
  OrganisationLimiter,
  type OrganisationLimiterOptions,
} from './organisationLimiter.js';
export { type CallerServer, serveCallers, type ServeCallersOptions } from './serveCallers.js';
export { decodeRequest, type DecodedRequest, type DecodeRequestOptions } from './wire.js';
