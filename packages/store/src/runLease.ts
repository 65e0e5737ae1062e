import type { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { StoreClient } from './storeClient.js';

/** Options of {@link RunLease.create}. */
export interface RunLeaseOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  /** Shortest time that a record is kept. */
  readonly rememberMs: number;
  /** Time for which records share one lease. */
  readonly bucketMs: number;
}

type LeaseId = Result<string, GalenatillerError>;

/** One lease for all the records of a time bucket; the store forgets them together. */
export class RunLease {
  private grant: Promise<LeaseId> | undefined;

  private grantedAtMs = 0;

  private constructor(private readonly opts: RunLeaseOptions) {}

  /** Makes a bucket without a lease. */
  static create(opts: RunLeaseOptions): RunLease {
    return new RunLease(opts);
  }

  /** The lease of the present bucket; claims that come while it is granted share the call. */
  current(): Promise<LeaseId> {
    const { timer, bucketMs } = this.opts;
    if (!this.grant || timer.nowMs() - this.grantedAtMs >= bucketMs) {
      this.grantedAtMs = timer.nowMs();
      this.grant = this.ask();
    }
    return this.grant;
  }

  /** Asks for a new lease at the next write, after the store said that this one has lapsed. */
  async invalidate(leaseId: string): Promise<void> {
    const { grant } = this;
    const current = await grant;
    if (grant === this.grant && current?.isOk && current.value === leaseId) {
      this.grant = undefined;
    }
  }

  private async ask(): Promise<LeaseId> {
    const { store, rememberMs, bucketMs } = this.opts;
    const granted = await store.grantLease({ ttlMs: rememberMs + bucketMs });
    if (granted.isErr) {
      this.grant = undefined;
      return Result.err(granted.error);
    }
    return Result.ok(granted.value.leaseId);
  }
}
