import type { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { StoreClient } from './storeClient.js';

/** Options of {@link RunLease.create}. */
export interface RunLeaseOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  /** Minimum time for which a record is kept. */
  readonly retentionMs: number;
  /** Length of the time bucket whose records share one lease. */
  readonly bucketMs: number;
}

type LeaseIdResult = Result<string, GalenatillerError>;

/** One lease for all records of a time bucket, which therefore expire together. */
export class RunLease {
  private pendingGrant: Promise<LeaseIdResult> | undefined;

  private grantedAtMs = 0;

  private constructor(private readonly opts: RunLeaseOptions) {}

  /** Creates an instance that has not requested a lease yet. */
  static create(opts: RunLeaseOptions): RunLease {
    return new RunLease(opts);
  }

  /** The lease of the current bucket; concurrent claims share one grant call. */
  current(): Promise<LeaseIdResult> {
    const { timer, bucketMs } = this.opts;
    if (!this.pendingGrant || timer.nowMs() - this.grantedAtMs >= bucketMs) {
      this.grantedAtMs = timer.nowMs();
      this.pendingGrant = this.requestLease();
    }
    return this.pendingGrant;
  }

  /** Discards an expired lease, so that the next write requests a new one. */
  async invalidate(leaseId: string): Promise<void> {
    const { pendingGrant } = this;
    const current = await pendingGrant;
    if (pendingGrant === this.pendingGrant && current?.isOk && current.value === leaseId) {
      this.pendingGrant = undefined;
    }
  }

  /** Discards the lease, which the store may have forgotten, or given to another node, in a restore. */
  discard(): void {
    this.pendingGrant = undefined;
  }

  private async requestLease(): Promise<LeaseIdResult> {
    const { store, retentionMs, bucketMs } = this.opts;
    const granted = await store.grantLease({ ttlMs: retentionMs + bucketMs });
    if (granted.isErr) {
      this.pendingGrant = undefined;
      return Result.err(granted.error);
    }
    return Result.ok(granted.value.leaseId);
  }
}
