import type { GalenatillerError } from '@galenatiller/error';
import type { Maybe, Result } from 'true-myth';

/** The kinds of store calls, which are counted separately. */
export type StoreCallKind =
  'range' | 'txn' | 'lease-grant' | 'lease-keepalive' | 'lease-revoke' | 'watch';

/** One call to the store; `body` is JSON. */
export interface StoreCall {
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly signal: AbortSignal;
}

/** A response whose body is streamed; the chunks of a watch arrive until it ends. */
export interface StoreResponse {
  readonly status: number;
  readonly chunks: AsyncIterable<string>;
}

/**
 * `not-sent` means that the store never received the call; after `broken` it may have applied it.
 */
export interface TransportFailure {
  readonly kind: 'not-sent' | 'broken';
  readonly detail: string;
}

/** Sends calls to the store; aborting the signal makes a call `broken`. */
export type StoreTransport = (call: StoreCall) => Promise<Result<StoreResponse, TransportFailure>>;

/** A failed call and whether it may have taken effect. */
export interface CallFailure {
  readonly kind: TransportFailure['kind'];
  readonly error: GalenatillerError;
}

/** A key and its value; `writeToken` identifies the write that set it. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly writeToken: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** Entries under a prefix, complete up to `revision` of the store. */
export interface PrefixRead {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** An entry, if the key exists, and the store revision at which it was read. */
export interface KeyRead {
  readonly entry: Maybe<StoreEntry>;
  readonly revision: number;
}

/** The revision that a key must have for a swap to apply; 0 means that it must be absent. */
export interface KeyExpectation {
  readonly key: string;
  readonly modRevision: number;
}

/** A key to write; if it has a lease, it is deleted with the lease. */
export interface KeyWrite {
  readonly key: string;
  readonly value: string;
  readonly leaseId?: string;
}

/**
 * Result of a compare-and-swap. `conflict`: nothing was written. `superseded`: a response was lost
 * and the keys have changed since, so the swap may have taken effect and been overwritten.
 */
export type SwapResult =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict' | 'superseded'; readonly current: readonly StoreEntry[] };

/** A lease; the store deletes its keys when it expires. */
export interface Lease {
  readonly leaseId: string;
  readonly ttlMs: number;
}

/**
 * Event of a watch. After `gap`, changes may be missing and the state has to be read again. `lost`
 * is sent for each failure of the watch, `found` once it is open again.
 */
export type WatchEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'delete'; readonly key: string; readonly modRevision: number }
  | { readonly kind: 'gap' | 'lost' | 'found' };
