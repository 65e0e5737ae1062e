/** Named constants with their units, shared by several packages. */

/** Version of the protocol between nodes; both sides of a link must have the same. */
export const NODE_PROTOCOL_VERSION = 1;

/** Largest frame on a link between nodes, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

/** Largest body of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 262_144;

/** Size of the blocks by which prompt prefixes are hashed, in characters. */
export const PREFIX_BLOCK_CHARS = 256;

/** Longest deadline that a caller may ask for, in milliseconds. */
export const MAX_DEADLINE_MS = 600_000;

/** Time for a link to be opened and proved, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Time between reports of idle links, in milliseconds. */
export const REPORT_INTERVAL_MS = 1_000;

/** Largest value of the platform's store, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_048_576;
