import { createLogger } from '@galenatiller/logger';
import type { TimerService } from '@galenatiller/timer';

import { jitteredDelayMs } from './jitteredDelayMs.js';
import type { StoreClient } from './storeClient.js';
import type { Lease } from './storeTypes.js';

/** Options of {@link LeaseHolder.create}. */
export interface LeaseHolderOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  /** Key that the holder owns, and what it writes there. */
  readonly key: string;
  readonly value: string;
  readonly ttlMs: number;
  /** Uniform number from 0 to 1, for jitter. */
  readonly random?: () => number;
  readonly onChange?: (holds: boolean) => void;
}

/** Share of the time to live after which the holder asks again. */
const RENEW_SHARE = 1 / 4;

/** Share of the time to live in which the holder may act; the rest is for clocks that differ. */
const ACT_SHARE = 3 / 4;

const RETRY_BASE_MS = 500;

const log = createLogger('store');

/**
 * Holds a lease as long as it can. Time is counted on the monotonic clock from when a request was
 * SENT, so the holder stops before the store lets the lease lapse, also when it was paused.
 */
export class LeaseHolder {
  private actsUntilMs = 0;

  private fencing = 0;

  private constructor(private readonly opts: LeaseHolderOptions) {}

  /** Makes a holder that does not hold the lease yet. */
  static create(opts: LeaseHolderOptions): LeaseHolder {
    return new LeaseHolder(opts);
  }

  /** Whether the holder may act now; ask right before each action. */
  isHolder(): boolean {
    return this.opts.timer.nowMs() < this.actsUntilMs;
  }

  /** Grows with each new holder; 0 before the first lease. Send it with every order. */
  fencingNumber(): number {
    return this.fencing;
  }

  /** The task: asks for the lease, keeps it, and asks again when it was lost. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const { timer, store, ttlMs, random = Math.random } = this.opts;
    while (!signal.aborted) {
      const lease = await this.acquire();
      if (lease) {
        this.opts.onChange?.(true);
        await this.keep(lease, signal);
        this.actsUntilMs = 0;
        this.opts.onChange?.(false);
        await store.revokeLease(lease.leaseId);
      }
      const delayMs = jitteredDelayMs({ failures: 0, baseMs: ttlMs / 2, capMs: ttlMs, random });
      await timer.sleep({ delayMs: RETRY_BASE_MS + delayMs, signal });
    }
  }

  private async acquire(): Promise<Lease | undefined> {
    const { store, timer, key, value, ttlMs } = this.opts;
    const found = await store.read(key);
    if (found.isErr || found.value.entry.isJust) {
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
    this.fencing = swap.value.revision;
    this.actUntil(sentAtMs);
    log({ message: `Holds ${key} with fencing number ${this.fencing}.` });
    return granted.value;
  }

  private async keep(lease: Lease, signal: AbortSignal): Promise<void> {
    const { store, timer, key, ttlMs } = this.opts;
    while (this.isHolder() && !signal.aborted) {
      await timer.sleep({ delayMs: ttlMs * RENEW_SHARE, signal });
      const sentAtMs = timer.nowMs();
      if (signal.aborted || !this.isHolder()) {
        return;
      }
      const kept = await store.keepLeaseAlive(lease.leaseId);
      if (kept.isErr && kept.error.codeName === 'lease-lost') {
        log({ message: `Lost ${key}.` });
        return;
      }
      if (kept.isOk) {
        this.actUntil(sentAtMs);
      }
    }
  }

  private actUntil(sentAtMs: number): void {
    this.actsUntilMs = sentAtMs + this.opts.ttlMs * ACT_SHARE;
  }
}
