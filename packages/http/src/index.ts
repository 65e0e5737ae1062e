/** HTTP client for peers; its errors say whether the request may have run. */
export { BodyMemory, type BodyMemoryOptions, createResponseMemory } from './bodyMemory.js';
export { createAttemptHeaders } from './createAttemptHeaders.js';
export { fetchText, type FetchTextOptions, type TextResponse } from './fetchText.js';
export { readAll, type ReadAllOptions, readParts } from './readAll.js';
export {
  type OnTargetNotice,
  sendRequest,
  type SendRequestOptions,
  type StreamedResponse,
} from './sendRequest.js';
export {
  probeTargetProcess,
  type ProbeTargetProcessOptions,
  type TargetProcessState,
} from './probeTargetProcess.js';
export { decodeTargetNotice, type DecodeTargetNoticeOptions } from './decodeTargetNotice.js';
export { isOwnResponse, type IsOwnResponseOptions } from './isOwnResponse.js';
export { parseAddress, type SocketAddress } from './parseAddress.js';
export { findStatusError } from './findStatusError.js';
export { createTransportError, type CreateTransportErrorOptions } from './createTransportError.js';
export { decodeJson, type DecodeJsonOptions } from './wire.js';
export {
  type TargetResponse,
  TargetConnectionPool,
  type TargetConnectionPoolOptions,
  type TargetFailure,
  type TargetRequest,
} from './targetConnectionPool.js';
