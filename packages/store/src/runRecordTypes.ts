import type { StageEnd } from '@galenatiller/types';

/** A run that may happen at most once, named by its organisation and idempotency key. */
export interface RunName {
  readonly organisation: string;
  readonly runKey: string;
}

/** A request to run. */
export interface RunRequest extends RunName {
  readonly bodyDigest: string;
  readonly requestId: string;
  /** Ends the wait for a run of the same key at this node. */
  readonly signal?: AbortSignal;
}

/** The end of a run. */
export interface RunCompletion extends RunName {
  readonly bodyDigest: string;
  readonly end: StageEnd;
}

/** What a claim gives: only `first` may be dispatched. */
export type ClaimResult =
  | { readonly kind: 'first' | 'may-have-run' | 'key-reused' }
  | { readonly kind: 'answered'; readonly end: StageEnd };

/** What the store keeps of a run. */
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
