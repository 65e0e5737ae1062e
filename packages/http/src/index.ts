/** HTTP exchanges with a peer; a failure says what is proved about execution. */
export { attemptHeaders } from './attemptHeaders.js';
export { exchangeText, type ExchangeTextOptions, type TextResponse } from './exchangeText.js';
export { openExchange, type OpenExchangeOptions, type OpenResponse } from './openExchange.js';
export { probeIdentity, type ProbeIdentityOptions } from './probeIdentity.js';
export { readStatus } from './readStatus.js';
export { transportError, type TransportErrorOptions } from './transportError.js';
export { decodeJson, type DecodeJsonOptions } from './wire.js';
export {
  type TargetAnswer,
  TargetConnections,
  type TargetConnectionsOptions,
  type TargetFailure,
  type TargetRequest,
} from './targetConnections.js';
