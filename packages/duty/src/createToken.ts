import type { StoredDuty } from './dutyEntry.js';

/** A write that takes a token, and what was known when it was sent. */
export interface SentWrite {
  readonly token: number;
  readonly expectedRevision: number;
  /** Lease of this router under which it was sent. */
  readonly generation: number;
  /** Rises of the store's era that had been seen. */
  readonly rises: number;
}

/** Options of {@link createToken}. */
export interface CreateTokenOptions {
  readonly stored: StoredDuty;
  readonly generation: number;
  readonly rises: number;
  /** Unix time in milliseconds. */
  readonly wallMs: number;
  /** A write that may still be executed. */
  readonly sent: SentWrite | undefined;
  /** The highest token that this router has seen. */
  readonly highestToken: number;
  /** How often a token of this router was rejected. */
  readonly refusals: number;
}

/** Step of the tokens after the first rejection. */
const REFUSED_STEP = 1_000;

/** Bounds the step at about twelve days, in milliseconds of the wall clock. */
const MAX_DOUBLINGS = 20;

/**
 * Creates a fencing token. The wall clock keeps tokens growing where the store was restored from a copy
 * that lacks the last ones. Where that wasn't enough, since the wall clocks of routers differ, each
 * rejection doubles the step.
 */
export function createToken(opts: CreateTokenOptions): number {
  const { stored, sent, highestToken, refusals, wallMs } = opts;
  const isSameWrite =
    sent?.expectedRevision === stored.revision &&
    sent.generation === opts.generation &&
    sent.rises === opts.rises;
  if (sent && isSameWrite) {
    // Whichever of the two is executed first, the other one fails.
    return sent.token;
  }
  const step = refusals === 0 ? 1 : REFUSED_STEP * 2 ** Math.min(refusals - 1, MAX_DOUBLINGS);
  return Math.max(stored.entry.token + 1, highestToken + step, Math.floor(wallMs));
}
