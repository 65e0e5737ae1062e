import type { Result } from 'true-myth';

import type { ReadFailure } from './prefixSource.js';

/** Creates leases in the store and the keys attached to them. */
export interface LeaseClient {
  readonly grant: (opts: {
    readonly ttlMs: number;
    readonly signal: AbortSignal;
  }) => Promise<Result<{ readonly leaseId: string; readonly ttlMs: number }, ReadFailure>>;
  /** Renews a lease; `ended` if the store no longer has it. */
  readonly keepAlive: (opts: {
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<'kept' | 'ended', ReadFailure>>;
  /** Writes a key that is deleted when its lease ends. */
  readonly put: (opts: {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<'written' | 'ended', ReadFailure>>;
  readonly revoke: (opts: {
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<void>;
}

/** The lease of this node, as far as it is known to be kept. */
export interface OwnLease {
  /** Rises with each lease; the node may not have been a member between two leases. */
  readonly generation: number;
  /** Rises of the store's era that had been seen when it was granted. */
  readonly rises: number;
  /** Time for which the lease surely lasts, from when the last successful renewal was sent. */
  readonly leftMs: number;
}
