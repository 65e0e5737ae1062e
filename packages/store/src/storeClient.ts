import { randomUUID } from 'node:crypto';

import { GalenatillerError } from '@galenatiller/error';
import type { Cancel, TimerService } from '@galenatiller/timer';
import { Maybe, Result } from 'true-myth';

import type { CallBudget } from './callBudget.js';
import { type CallContext, type CallCounts, callStore } from './callStore.js';
import { compareAndSwap, type SwapOptions } from './compareAndSwap.js';
import { RestoreDetector } from './restoreDetector.js';
import { readPages } from './readPages.js';
import type {
  KeyRead,
  Lease,
  PrefixRead,
  StoreTransport,
  SwapResult,
  WatchEvent,
} from './storeTypes.js';
import { watchPrefix, type WatchOptions } from './watchPrefix.js';
import {
  decodeLeaseGrant,
  decodeLeaseKeepAlive,
  decodeRange,
  encodeLeaseGrant,
  encodeLeaseId,
  encodeRange,
} from './wire.js';

/** Options of {@link StoreClient.create}. */
export interface StoreClientOptions {
  readonly transport: StoreTransport;
  readonly timer: TimerService;
  readonly budget: CallBudget;
  /** Time limit of one call. */
  readonly callTimeoutMs?: number;
  /** Time without a message after which a watch is reopened. */
  readonly watchIdleTimeoutMs?: number;
  /** Returns a uniform random number from 0 to 1, for jitter. */
  readonly random?: () => number;
}

const CALL_TIMEOUT_MS = 1_000;
const WATCH_IDLE_TIMEOUT_MS = 5_000;

/** Client of the platform's store. Calls fail with `store-unavailable` or `call-budget-spent`. */
export class StoreClient {
  private readonly context: CallContext;

  private readonly random: () => number;

  private readonly watchIdleTimeoutMs: number;

  private constructor(opts: StoreClientOptions) {
    this.random = opts.random ?? Math.random;
    this.watchIdleTimeoutMs = opts.watchIdleTimeoutMs ?? WATCH_IDLE_TIMEOUT_MS;
    this.context = {
      transport: opts.transport,
      timer: opts.timer,
      budget: opts.budget,
      callTimeoutMs: opts.callTimeoutMs ?? CALL_TIMEOUT_MS,
      era: RestoreDetector.create(),
      counts: {
        range: 0,
        txn: 0,
        'lease-grant': 0,
        'lease-keepalive': 0,
        'lease-revoke': 0,
        watch: 0,
      },
    };
  }

  /** Creates a client; nothing is sent before the first call. */
  static create(opts: StoreClientOptions): StoreClient {
    return new StoreClient(opts);
  }

  /** Number of calls made so far of each kind. */
  callCounts(): Readonly<CallCounts> {
    return { ...this.context.counts };
  }

  /** Number of times that the store was noticed to have come back from an older copy. */
  get restoreCount(): number {
    return this.context.era.number;
  }

  /** Calls `notify` each time the store is noticed to have come back from an older copy. */
  onRestored(notify: () => void): Cancel {
    return this.context.era.onRestored(notify);
  }

  /** Reads one key. */
  async read(key: string): Promise<Result<KeyRead, GalenatillerError>> {
    const response = await callStore({
      context: this.context,
      kind: 'range',
      body: encodeRange({ key }),
      decode: decodeRange,
    });
    return response
      .mapErr((failure) => failure.error)
      .map(({ entries, revision }) => ({ entry: Maybe.of(entries[0]), revision }));
  }

  /** Reads all entries under a prefix page by page; with `keysOnly` the values are empty. */
  readPrefix(opts: {
    readonly prefix: string;
    readonly pageSize?: number;
    readonly keysOnly?: boolean;
  }): Promise<Result<PrefixRead, GalenatillerError>> {
    return readPages({ context: this.context, ...opts });
  }

  /**
   * Atomically writes and deletes keys if every expected key has the expected revision. If a
   * response is lost, the same swap is sent again; `store-ambiguous` if that fails too.
   */
  compareAndSwap(opts: SwapOptions): Promise<Result<SwapResult, GalenatillerError>> {
    return compareAndSwap({
      context: this.context,
      random: this.random,
      swap: opts,
      writeToken: randomUUID(),
    });
  }

  /** Requests a lease. */
  async grantLease(opts: { readonly ttlMs: number }): Promise<Result<Lease, GalenatillerError>> {
    const response = await callStore({
      context: this.context,
      kind: 'lease-grant',
      body: encodeLeaseGrant(opts.ttlMs),
      decode: decodeLeaseGrant,
    });
    return response.mapErr((failure) => failure.error);
  }

  /**
   * Renews a lease and returns its time to live in milliseconds; `lease-lost` if it has expired.
   */
  async keepLeaseAlive(leaseId: string): Promise<Result<number, GalenatillerError>> {
    const response = await callStore({
      context: this.context,
      kind: 'lease-keepalive',
      body: encodeLeaseId(leaseId),
      decode: decodeLeaseKeepAlive,
    });
    return response
      .mapErr((failure) => failure.error)
      .andThen((ttlMs) =>
        ttlMs > 0 ? Result.ok(ttlMs) : Result.err(createLeaseLostError(leaseId)),
      );
  }

  /** Revokes a lease, which deletes its keys. */
  async revokeLease(leaseId: string): Promise<Result<void, GalenatillerError>> {
    const response = await callStore({
      context: this.context,
      kind: 'lease-revoke',
      body: encodeLeaseId(leaseId),
      decode: () => undefined,
    });
    return response.mapErr((failure) => failure.error);
  }

  /** Watches a prefix across outages until the signal aborts; see {@link watchPrefix}. */
  watch(opts: WatchOptions): AsyncGenerator<WatchEvent, void, void> {
    return watchPrefix({
      ...opts,
      context: this.context,
      random: this.random,
      idleTimeoutMs: this.watchIdleTimeoutMs,
    });
  }
}

function createLeaseLostError(leaseId: string): GalenatillerError {
  return GalenatillerError.create({ name: 'lease-lost', detail: `lease ${leaseId} has expired` });
}
