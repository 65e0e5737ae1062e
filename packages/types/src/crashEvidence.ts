/**
 * What a node has seen of calls with a certain content. `crashed`: a target crashed while such a call
 * ran on it. `sound`: a target responded to such a call, and the response was whole.
 */
export interface CrashEvidence {
  readonly kind: 'crashed' | 'sound';
  /** Fingerprint of a call or of a part of its prompt. */
  readonly fingerprint: string;
  /** The start of the target that crashed; empty for `sound`. */
  readonly targetStart: string;
  /** Time since it was seen; clocks of hosts differ. */
  readonly agoMs: number;
}
