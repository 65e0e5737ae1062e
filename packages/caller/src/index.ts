/** HTTP server for callers: requests, streamed responses and refusals. */
export { BLOCK_BYTES, BlockPool } from './blockPool.js';
export {
  BodyBudget,
  type BodyBudgetOptions,
  type BodyClaim,
  type BodyEndReason,
  type OpenBodyOptions,
} from './bodyBudget.js';
export type * from './call.js';
export {
  type CallerFigures,
  type CallerFiguresOptions,
  computeCallerFigures,
} from './callerFigures.js';
export { CallerGuard, type CallerGuardOptions, type CallerLimit } from './callerGuard.js';
export {
  chooseHeads,
  chooseIdle,
  chooseMostRequests,
  chooseNotReading,
  chooseUnread,
  type CloseReason,
  type ConnectionLimits,
  type ConnectionState,
  PIPELINE_LIMITS,
  type PipelineLimits,
  STRICT_PIPELINE_LIMITS,
} from './chooseConnections.js';
export { ChunkCollector } from './chunkCollector.js';
export { type ChunkCount, ChunkPacer, hasTooManyChunks } from './chunkPacer.js';
export { HeldRequest } from './heldRequest.js';
export {
  type LimitDecision,
  OrganisationLimiter,
  type OrganisationLimiterOptions,
} from './organisationLimiter.js';
export { type Collection, MemoryPressure, type MemoryUse } from './memoryPressure.js';
export { MemoryWatch, type MemoryWatchOptions } from './memoryWatch.js';
export { type BodyFailure, type ReadBody, readBody, type ReadBodyOptions } from './readBody.js';
export { type CallerServer, serveCallers, type ServeCallersOptions } from './serveCallers.js';
export { decodeRequest, type DecodedRequest, type DecodeRequestOptions } from './wire.js';
