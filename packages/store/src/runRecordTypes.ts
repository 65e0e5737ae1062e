import type { StageEnd } from '@galenatiller/types';

/** Identifies a run that may happen at most once, by organisation and idempotency key. */
export interface RunName {
  readonly organisation: string;
  readonly runKey: string;
}

/** A request to claim a run. */
export interface RunRequest extends RunName {
  readonly bodyDigest: string;
  readonly requestId: string;
  /** Cancels the wait for a run with the same key on this node. */
  readonly signal?: AbortSignal;
}

/** A run and how it ended. */
export interface RunCompletion extends RunName {
  readonly bodyDigest: string;
  readonly end: StageEnd;
}

/** Result of a claim; the run may be dispatched only after `first`. */
export type ClaimResult =
  | { readonly kind: 'first' | 'may-have-run' | 'key-reused' }
  | { readonly kind: 'answered'; readonly end: StageEnd };

/** The record of a run as it is stored. */
export interface RunRecord {
  readonly state: 'claimed' | 'answered';
  readonly bodyDigest: string;
  readonly requestId: string;
  /** Unique to the claim. */
  readonly claimId: string;
  readonly nodeName: string;
  readonly incarnation: string;
  readonly end?: StageEnd | undefined;
}
