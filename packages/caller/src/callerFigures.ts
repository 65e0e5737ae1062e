/** Options of {@link computeCallerFigures}. */
export interface CallerFiguresOptions {
  /** Memory of the machine. */
  readonly memoryMb: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  /** Memory of the process while it serves ordinary calls. */
  readonly baseMb: number;
}

/** Limits for all callers of a process together, derived from its machine. */
export interface CallerFigures {
  /** Memory of bodies that are read or in use, without the part for small bodies. */
  readonly bodyBytes: number;
  /** Memory that is kept for small bodies. */
  readonly reservedBytes: number;
  /** Responses of targets that are read as a whole. */
  readonly maxResponseBytes: number;
  /** Answers that wait for their callers to read them. */
  readonly unreadBytes: number;
  /** Heads that are incomplete. */
  readonly headBytes: number;
  readonly maxConnections: number;
  readonly maxRequests: number;
}

const BYTES_PER_MB = 1_048_576;

/** Memory that is shared out even if the machine states less than an idle process needs. */
const MIN_SHARED_MB = 32;

const BODY_SHARE = 0.25;
const RESERVED_SHARE = 0.0625;
const RESPONSE_SHARE = 0.15;
const UNREAD_SHARE = 0.15;
const HEAD_SHARE = 0.125;
const REQUEST_SHARE = 0.1875;

/** Memory of a request in progress, without its body: its objects, its task and its send to a target. */
const REQUEST_BYTES = 32_768;

/** Share of the descriptors for callers, and for sends to targets; links and the store have the rest. */
const DESCRIPTOR_SHARE = 0.4;

/** Derives the limits for callers from the machine. */
export function computeCallerFigures(opts: CallerFiguresOptions): CallerFigures {
  const sharedBytes = Math.max(MIN_SHARED_MB, opts.memoryMb - opts.baseMb) * BYTES_PER_MB;
  const descriptors = Math.floor(opts.maxDescriptors * DESCRIPTOR_SHARE);
  return {
    bodyBytes: sharedBytes * BODY_SHARE,
    reservedBytes: sharedBytes * RESERVED_SHARE,
    maxResponseBytes: sharedBytes * RESPONSE_SHARE,
    unreadBytes: sharedBytes * UNREAD_SHARE,
    headBytes: sharedBytes * HEAD_SHARE,
    maxConnections: descriptors,
    maxRequests: Math.min(descriptors, Math.floor((sharedBytes * REQUEST_SHARE) / REQUEST_BYTES)),
  };
}
