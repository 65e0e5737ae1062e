/** Constants shared by several packages. */

/** Version of the protocol between nodes; both sides of a link must use the same one. */
export const NODE_PROTOCOL_VERSION = 1;

/** Maximum size of a frame on a link between nodes, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

/** Maximum body size of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 262_144;

/** Size of the blocks in which prompt prefixes are hashed, in characters. */
export const PREFIX_BLOCK_CHARS = 256;

/** Longest deadline that a caller may set, in milliseconds. */
export const MAX_DEADLINE_MS = 600_000;

/** Timeout for opening and authenticating a link, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Time after which a request that a stopping node refused may be sent again, in milliseconds. */
export const STOP_RETRY_AFTER_MS = 1_000;

/** Interval between reports on an idle link, in milliseconds. */
export const REPORT_INTERVAL_MS = 1_000;

/** Maximum size of a value in the platform's store, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_048_576;

/** Maximum size of a response that is read as a whole, in bytes; a faulty peer may never end one. */
export const MAX_RESPONSE_BYTES = 8_388_608;

/** Maximum size of all responses together that are being read as a whole, in bytes. */
export const MAX_RESPONSE_MEMORY_BYTES = 33_554_432;

/** Part of each response that doesn't count against that maximum, in bytes. */
export const FREE_RESPONSE_BYTES = 65_536;

/** Maximum size of one event of a stream, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Time to retry on a route that can't be run as configured, whose operator has to correct it first. */
export const INVALID_ROUTE_RETRY_AFTER_MS = 5_000;
