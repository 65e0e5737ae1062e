import { randomUUID } from 'node:crypto';

import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Maybe, Result } from 'true-myth';

import type { CallBudget } from './callBudget.js';
import { type CallContext, type CallCounts, callStore } from './callStore.js';
import { compareAndSwap, type SwapOptions } from './compareAndSwap.js';
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
  /** Time for one call, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Time without a message after which a watch is opened anew, in milliseconds. */
  readonly watchIdleTimeoutMs?: number;
  /** Uniform number from 0 to 1, for jitter. */
  readonly random?: () => number;
}

const CALL_LIMIT_MS = 1_000;
const WATCH_IDLE_MS = 5_000;

/** Client of the platform's store. Errors: `store-unavailable`, `call-budget-spent`. */
export class StoreClient {
  private readonly context: CallContext;

  private readonly random: () => number;

  private readonly watchIdleMs: number;

  private constructor(opts: StoreClientOptions) {
    this.random = opts.random ?? Math.random;
    this.watchIdleMs = opts.watchIdleTimeoutMs ?? WATCH_IDLE_MS;
    this.context = {
      transport: opts.transport,
      timer: opts.timer,
      budget: opts.budget,
      callTimeoutMs: opts.callTimeoutMs ?? CALL_LIMIT_MS,
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

  /** Makes a client; nothing is sent before the first call. */
  static create(opts: StoreClientOptions): StoreClient {
    return new StoreClient(opts);
  }

  /** Calls made so far, by kind. */
  callCounts(): Readonly<CallCounts> {
    return { ...this.context.counts };
  }

  /** Reads one key. */
  async read(key: string): Promise<Result<KeyRead, GalenatillerError>> {
    const answer = await callStore({
      context: this.context,
      kind: 'range',
      body: encodeRange({ key }),
      decode: decodeRange,
    });
    return answer
      .mapErr((failure) => failure.error)
      .map(({ entries, revision }) => ({ entry: Maybe.of(entries[0]), revision }));
  }

  /** Reads every key of a prefix, page by page; with `keysOnly` the values are empty. */
  readPrefix(opts: {
    readonly prefix: string;
    readonly pageSize?: number;
    readonly keysOnly?: boolean;
  }): Promise<Result<PrefixRead, GalenatillerError>> {
    return readPages({ context: this.context, ...opts });
  }

  /**
   * Writes and deletes keys in one step if every expected key has the expected revision. A lost
   * answer is settled by sending the same swap again; `store-ambiguous` when that fails too.
   */
  compareAndSwap(opts: SwapOptions): Promise<Result<SwapResult, GalenatillerError>> {
    return compareAndSwap({
      context: this.context,
      random: this.random,
      swap: opts,
      writeToken: randomUUID(),
    });
  }

  /** Asks for a lease. */
  async grantLease(opts: { readonly ttlMs: number }): Promise<Result<Lease, GalenatillerError>> {
    const answer = await callStore({
      context: this.context,
      kind: 'lease-grant',
      body: encodeLeaseGrant(opts.ttlMs),
      decode: decodeLeaseGrant,
    });
    return answer.mapErr((failure) => failure.error);
  }

  /** Starts the time of a lease anew and gives it in milliseconds; `lease-lost` if it lapsed. */
  async keepLeaseAlive(leaseId: string): Promise<Result<number, GalenatillerError>> {
    const answer = await callStore({
      context: this.context,
      kind: 'lease-keepalive',
      body: encodeLeaseId(leaseId),
      decode: decodeLeaseKeepAlive,
    });
    return answer
      .mapErr((failure) => failure.error)
      .andThen((ttlMs) => (ttlMs > 0 ? Result.ok(ttlMs) : Result.err(leaseLost(leaseId))));
  }

  /** Ends a lease and deletes its keys. */
  async revokeLease(leaseId: string): Promise<Result<void, GalenatillerError>> {
    const answer = await callStore({
      context: this.context,
      kind: 'lease-revoke',
      body: encodeLeaseId(leaseId),
      decode: () => undefined,
    });
    return answer.mapErr((failure) => failure.error);
  }

  /** Follows a prefix until the signal aborts, across outages; see {@link watchPrefix}. */
  watch(opts: WatchOptions): AsyncGenerator<WatchEvent, void, void> {
    return watchPrefix({
      ...opts,
      context: this.context,
      random: this.random,
      idleTimeoutMs: this.watchIdleMs,
    });
  }
}

function leaseLost(leaseId: string): GalenatillerError {
  return GalenatillerError.create({ name: 'lease-lost', detail: `lease ${leaseId} has lapsed` });
}
