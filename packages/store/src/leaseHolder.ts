import { createLogger } from '@galenatiller/logger';
import type { TimerService } from '@galenatiller/timer';

import { jitteredDelayMs } from './jitteredDelayMs.js';
import type { StoreClient } from './storeClient.js';
import type { Lease } from './storeTypes.js';

/** Options of {@link LeaseHolder.create}. */
export interface LeaseHolderOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  /** Key whose existence marks the holder, and the value written to it. */
  readonly key: string;
  readonly value: string;
  readonly ttlMs: number;
  /** Returns a uniform random number from 0 to 1, for jitter. */
  readonly random?: () => number;
  readonly onChange?: (isHolder: boolean) => void;
}

/** Fraction of the time to live after which the lease is renewed. */
const RENEW_FRACTION = 1 / 4;

/** Fraction of the time to live in which the holder may act; the rest allows for clock drift. */
const USABLE_FRACTION = 3 / 4;

const MIN_RETRY_DELAY_MS = 500;

const log = createLogger('store');

/**
 * Acquires a lease and renews it for as long as possible. The lease time is measured on the
 * monotonic clock from when the request was sent, so the holder stops acting before the lease can
 * expire at the store, even if the process was paused.
 */
export class LeaseHolder {
  private usableUntilMs = 0;

  private currentFencingNumber = 0;

  private constructor(private readonly opts: LeaseHolderOptions) {}

  /** Creates a holder that does not hold the lease yet. */
  static create(opts: LeaseHolderOptions): LeaseHolder {
    return new LeaseHolder(opts);
  }

  /** Whether the holder may act now; check immediately before each action. */
  isHolder(): boolean {
    return this.opts.timer.nowMs() < this.usableUntilMs;
  }

  /** Increases with each new holder; 0 before the first lease. Send it with every order. */
  fencingNumber(): number {
    return this.currentFencingNumber;
  }

  /** Acquires the lease, renews it, and acquires it again after a loss, until the signal aborts. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const { timer, store, ttlMs, random = Math.random } = this.opts;
    while (!signal.aborted) {
      const lease = await this.acquire();
      if (lease) {
        this.opts.onChange?.(true);
        await this.renewUntilLost(lease, signal);
        this.usableUntilMs = 0;
        this.opts.onChange?.(false);
        await store.revokeLease(lease.leaseId);
      }
      const delayMs = jitteredDelayMs({ failures: 0, baseMs: ttlMs / 2, maxMs: ttlMs, random });
      await timer.sleep({ delayMs: MIN_RETRY_DELAY_MS + delayMs, signal });
    }
  }

  private async acquire(): Promise<Lease | undefined> {
    const { store, timer, key, value, ttlMs } = this.opts;
    const current = await store.read(key);
    if (current.isErr || current.value.entry.isJust) {
      return undefined;
    }
    const sentAtMs = timer.nowMs();
    const granted = await store.grantLease({ ttlMs });
    if (granted.isErr) {
      return undefined;
    }
    const { leaseId } = granted.value;
    const swap = await store.compareAndSwap({
      expected: [{ key, modRevision: 0 }],
      puts: [{ key, value, leaseId }],
    });
    if (swap.isErr || swap.value.kind !== 'swapped') {
      await store.revokeLease(leaseId);
      return undefined;
    }
    this.currentFencingNumber = swap.value.revision;
    this.extendUsableTime(sentAtMs);
    log({ message: `Acquired the lease ${key} with fencing number ${this.currentFencingNumber}.` });
    return granted.value;
  }

  private async renewUntilLost(lease: Lease, signal: AbortSignal): Promise<void> {
    const { store, timer, key, ttlMs } = this.opts;
    while (this.isHolder() && !signal.aborted) {
      await timer.sleep({ delayMs: ttlMs * RENEW_FRACTION, signal });
      const sentAtMs = timer.nowMs();
      if (signal.aborted || !this.isHolder()) {
        return;
      }
      const renewal = await store.keepLeaseAlive(lease.leaseId);
      if (renewal.isErr && renewal.error.codeName === 'lease-lost') {
        log({ message: `Lost the lease ${key}.` });
        return;
      }
      if (renewal.isOk) {
        this.extendUsableTime(sentAtMs);
      }
    }
  }

  private extendUsableTime(sentAtMs: number): void {
    this.usableUntilMs = sentAtMs + this.opts.ttlMs * USABLE_FRACTION;
  }
}
