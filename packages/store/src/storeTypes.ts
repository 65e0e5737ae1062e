import type { GalenatillerError } from '@galenatiller/error';
import type { Maybe, Result } from 'true-myth';

/** The kinds of calls that the store counts. */
export type StoreCallKind =
  'range' | 'txn' | 'lease-grant' | 'lease-keepalive' | 'lease-revoke' | 'watch';

/** One call to the store; `body` is JSON. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly signal: AbortSignal;
}

/** The head of an answer; a watch sends chunks until it ends. */
export interface StoreResponse {
  readonly status: number;
  readonly chunks: AsyncIterable<string>;
}

/** `not-sent` proves that the store never saw the call; after `broken` it may have acted. */
export interface TransportFailure {
  readonly kind: 'not-sent' | 'broken';
  readonly detail: string;
}

/** Carries calls to the store; an abort of the signal is a `broken` call. */
export type StoreTransport = (call: StoreCall) => Promise<Result<StoreResponse, TransportFailure>>;

/** A failed call and whether it may have taken effect. */
export interface CallFailure {
  readonly kind: TransportFailure['kind'];
  readonly error: GalenatillerError;
}

/** A key and its value; `writeToken` names the write that set it. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly writeToken: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** Entries under a prefix, and the revision of the store before which none is missing. */
export interface PrefixRead {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** An entry that may be absent, and the revision of the store that it was read at. */
export interface KeyRead {
  readonly entry: Maybe<StoreEntry>;
  readonly revision: number;
}

/** A key's state that a swap depends on; revision 0 means that the key is absent. */
export interface KeyExpectation {
  readonly key: string;
  readonly modRevision: number;
}

/** A key to write, gone with its lease if it has one. */
export interface KeyWrite {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: string;
}

/**
 * Answer to a compare-and-swap. `conflict`: nothing was written. `superseded`: an answer was lost
 * and the keys have changed since, so that the swap may have taken effect and been overwritten.
 */
export type SwapResult =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict' | 'superseded'; readonly current: readonly StoreEntry[] };

/** A lease; the store forgets its keys once it lapses. */
export interface Lease {
  readonly leaseId: string;
  readonly ttlMs: number;
}

/**
 * What a watch sees. After `gap` changes may be missing and state has to be read anew. `lost` comes
 * with each failed try to open the watch, `found` once it is open again.
 */
export type WatchEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'delete'; readonly key: string; readonly modRevision: number }
  | { readonly kind: 'gap' | 'lost' | 'found' };
