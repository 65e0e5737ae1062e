import type { Result } from 'true-myth';

/** A key with its value as stored. */
export interface PrefixEntry {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of its last change. */
  readonly revision: number;
}

/** One change under a prefix. */
export type PrefixChange =
  | { readonly kind: 'put'; readonly entry: PrefixEntry }
  | { readonly kind: 'delete'; readonly key: string; readonly revision: number };

/** A page of keys in order, and the revision of the store when it answered. */
export interface PrefixPage {
  readonly entries: readonly PrefixEntry[];
  readonly hasMore: boolean;
  readonly storeRevision: number;
}

/** Changes in order; every change up to `storeRevision` has been reported. */
export interface PrefixChanges {
  readonly changes: readonly PrefixChange[];
  readonly storeRevision: number;
}

/**
 * Why a read failed. `history-lost`: changes since the revision are no longer known. `refused`: the
 * store answered that it did nothing. `unanswered`: no usable answer came.
 */
export interface ReadFailure {
  readonly kind: 'history-lost' | 'refused' | 'unanswered';
  readonly detail: string;
}

/** Reads of a store that are linearizable; the signal ends a call. */
export interface PrefixSource {
  readonly readPage: (opts: {
    readonly prefix: string;
    /** Key after which the page begins; empty for the first page. */
    readonly afterKey: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<PrefixPage, ReadFailure>>;
  /** Answers at the first change after a revision, or without changes after `waitMs`. */
  readonly waitForChanges: (opts: {
    readonly prefix: string;
    readonly afterRevision: number;
    readonly waitMs: number;
    readonly signal: AbortSignal;
  }) => Promise<Result<PrefixChanges, ReadFailure>>;
}
