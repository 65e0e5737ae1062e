import { randomUUID } from 'node:crypto';

import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { TimerService } from '@galenatiller/timer';
import type { StageEnd } from '@galenatiller/types';
import { Result } from 'true-myth';

import { GroupCommit } from './groupCommit.js';
import { LocalRun } from './localRun.js';
import { RememberedRuns } from './rememberedRuns.js';
import { RunLease } from './runLease.js';
import { hasClaimId, isUnfinishedClaim, toClaimResult } from './runRecordClaims.js';
import {
  createResultTooLargeError,
  toNotRunError,
  createContentionError,
  createNotClaimedError,
} from './runRecordErrors.js';
import type {
  ClaimResult,
  RunCompletion,
  RunName,
  RunRecord,
  RunRequest,
} from './runRecordTypes.js';
import type { StoreClient } from './storeClient.js';
import type { StoreEntry } from './storeTypes.js';
import { decodeRunRecord, encodeRunRecord, createRunRecordKey } from './wireRunRecords.js';

/** Options of {@link RunRecords.create}. */
export interface RunRecordsOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly nodeName: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  /** Time for which a write waits for others to join its transaction. */
  readonly groupWindowMs: number;
  /** Time limit for writing a record. */
  readonly writeTimeoutMs?: number;
}

interface WriteRecordOptions {
  readonly key: string;
  readonly modRevision: number;
  readonly record: RunRecord;
  /** Whether this is the second attempt, in which an expired lease is an error. */
  readonly isRetry?: boolean;
}

/** Minimum time for which a run record is kept. */
export const RUN_RECORD_RETENTION_MS = 86_400_000;

/** Length of the time bucket whose records share one lease. */
const LEASE_BUCKET_MS = 3_600_000;

const MAX_RECORD_CHARS = 262_144;
const MAX_CLAIM_ATTEMPTS = 3;

const WRITE_TIMEOUT_MS = 800;

/** Maximum number of failed writes that are retried; further ones are dropped. */
const MAX_PENDING = 1_000;

const REPAIR_INTERVAL_MS = 1_000;

const log = createLogger('store');

/**
 * Records runs that may happen at most once. A run is claimed in the store before it is dispatched,
 * and is not dispatched unless the claim is known to be stored.
 */
export class RunRecords {
  /** Runs claimed by this node that have not ended or whose result is not stored yet. */
  private readonly runs = new Map<string, LocalRun>();

  /** By key, the ids of claims that may be stored but whose runs were never dispatched. */
  private readonly undispatched = new Map<string, string>();

  private readonly remembered: RememberedRuns;

  /** Whether the store was restored and has not got all records again. */
  private isRewriteDue = false;

  private readonly groupCommit: GroupCommit;

  private readonly lease: RunLease;

  private constructor(private readonly opts: RunRecordsOptions) {
    const {
      store,
      timer,
      groupWindowMs: windowMs,
      writeTimeoutMs: timeoutMs = WRITE_TIMEOUT_MS,
    } = opts;
    this.groupCommit = GroupCommit.create({ store, timer, windowMs, timeoutMs });
    const durations = { retentionMs: RUN_RECORD_RETENTION_MS, bucketMs: LEASE_BUCKET_MS };
    this.lease = RunLease.create({ store, timer, ...durations });
    this.remembered = RememberedRuns.create({ timer });
    store.onRestored(() => {
      this.lease.discard();
      this.isRewriteDue = true;
    });
  }

  /** Creates the records of a node that has claimed nothing. */
  static create(opts: RunRecordsOptions): RunRecords {
    return new RunRecords(opts);
  }

  /**
   * Claims a run. If a run with the same key is active on this node, waits for its end. Errors are
   * `store-unavailable`, `store-ambiguous` and `call-budget-spent`, always with outcome `not-run`.
   */
  async claim(request: RunRequest): Promise<Result<ClaimResult, GalenatillerError>> {
    const key = createRunRecordKey(request);
    for (let run = this.runs.get(key); run; run = this.runs.get(key)) {
      if (run.bodyDigest !== request.bodyDigest) {
        return Result.ok({ kind: 'key-reused' });
      }
      const claim = await run.wait(request.signal);
      if (claim) {
        return Result.ok(claim);
      }
    }
    const remembered = this.remembered.find(key);
    if (remembered) {
      return Result.ok(toClaimResult(remembered, request.bodyDigest));
    }
    const run = LocalRun.create({ ...request, claimId: randomUUID() });
    this.runs.set(key, run);
    const claim = await this.claimInStore(key, run);
    if (claim.isErr || claim.value.kind !== 'first') {
      this.runs.delete(key);
      run.cancel();
    }
    return claim;
  }

  /**
   * Stores the result of a run claimed here; unless the run is known to have run, only the claim
   * stays.
   */
  async complete(opts: RunCompletion): Promise<Result<void, GalenatillerError>> {
    const key = createRunRecordKey(opts);
    const run = this.runs.get(key);
    if (!run) {
      return Result.err(createNotClaimedError());
    }
    if (opts.end.outcome !== 'ran') {
      this.abandon(opts);
      return Result.ok(undefined);
    }
    const { report, ...end } = opts.end;
    run.end({ kind: 'answered', end });
    return this.writeResult(key, run, end);
  }

  /** Abandons a run that may have happened; its claim stays, so that no retry runs. */
  abandon(opts: RunName): void {
    const key = createRunRecordKey(opts);
    const run = this.runs.get(key);
    if (run) {
      run.end({ kind: 'may-have-run' });
      this.remembered.add(key, this.toRecord(run));
    }
    this.runs.delete(key);
  }

  /** Deletes the claim of a run that is known not to have started. */
  async releaseNotRun(opts: RunName): Promise<Result<void, GalenatillerError>> {
    const key = createRunRecordKey(opts);
    const run = this.runs.get(key);
    if (!run) {
      return Result.err(createNotClaimedError());
    }
    const written = await this.groupCommit.write({ key, modRevision: run.modRevision });
    if (written.isErr) {
      this.recordUndispatched(key, run.claimId);
    }
    this.runs.delete(key);
    run.cancel();
    return written.map(() => undefined);
  }

  /** Retries writes that failed during an outage, until the signal aborts. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      await this.opts.timer.sleep({ delayMs: REPAIR_INTERVAL_MS, signal });
      await this.rewriteAfterRestore();
      await this.retryUnwrittenResults();
      await this.releaseUndispatched();
    }
  }

  private async claimInStore(
    key: string,
    run: LocalRun,
  ): Promise<Result<ClaimResult, GalenatillerError>> {
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      const written = await this.writeRecord({ key, modRevision: 0, record: this.toRecord(run) });
      if (written.isErr) {
        this.recordFailedClaim(key, run, written.error);
        return Result.err(toNotRunError(written.error));
      }
      if (written.value.kind === 'written') {
        run.markClaimed({ modRevision: written.value.revision });
        return Result.ok({ kind: 'first' });
      }
      if (written.value.current.isJust) {
        return Result.ok(this.decideClaim({ key, run, entry: written.value.current.value }));
      }
    }
    return Result.err(createContentionError());
  }

  /** Writes a record under the current lease; retries once if that lease has expired. */
  private async writeRecord(opts: WriteRecordOptions): ReturnType<GroupCommit['write']> {
    const { key, modRevision, record } = opts;
    const leaseId = await this.lease.current();
    if (leaseId.isErr) {
      return Result.err(leaseId.error);
    }
    const put = { value: encodeRunRecord(record), leaseId: leaseId.value };
    const written = await this.groupCommit.write({ key, modRevision, put });
    if (written.isOk || written.error.codeName !== 'lease-lost') {
      return written;
    }
    await this.lease.invalidate(leaseId.value);
    return opts.isRetry ? written : this.writeRecord({ ...opts, isRetry: true });
  }

  private decideClaim(opts: {
    readonly key: string;
    readonly run: LocalRun;
    readonly entry: StoreEntry;
  }): ClaimResult {
    const { key, run, entry } = opts;
    const decoded = decodeRunRecord(entry.value);
    if (decoded.isNothing) {
      return { kind: 'may-have-run' };
    }
    const record = decoded.value;
    const claim = toClaimResult(record, run.bodyDigest);
    if (claim.kind !== 'may-have-run' || this.undispatched.get(key) !== record.claimId) {
      return claim;
    }
    // This node stored the claim without learning of it and never dispatched the run.
    this.undispatched.delete(key);
    run.markClaimed({ modRevision: entry.modRevision, claimId: record.claimId });
    return { kind: 'first' };
  }

  private recordFailedClaim(key: string, run: LocalRun, error: GalenatillerError): void {
    if (error.codeName === 'store-ambiguous') {
      this.recordUndispatched(key, run.claimId);
    }
  }

  private recordUndispatched(key: string, claimId: string): void {
    if (this.undispatched.size < MAX_PENDING) {
      this.undispatched.set(key, claimId);
    }
  }

  private async writeResult(
    key: string,
    run: LocalRun,
    end: StageEnd,
  ): Promise<Result<void, GalenatillerError>> {
    const record: RunRecord = { ...this.toRecord(run), state: 'answered', end };
    const chars = encodeRunRecord(record).length;
    if (chars > MAX_RECORD_CHARS) {
      this.remembered.add(key, this.toRecord(run));
      this.runs.delete(key);
      return Result.err(createResultTooLargeError(chars));
    }
    this.remembered.add(key, record, chars);
    const written = await this.writeRecord({ key, modRevision: run.modRevision, record });
    if (written.isOk && written.value.kind === 'conflict') {
      // The claim is gone, or has another revision since the store was restored.
      this.isRewriteDue = true;
    }
    if (written.isErr && this.runs.size < MAX_PENDING) {
      run.keepUnwrittenResult(end);
    } else {
      this.runs.delete(key);
    }
    return written.map(() => undefined);
  }

  /** Writes the records of this node again that a restored store may have lost. */
  private async rewriteAfterRestore(): Promise<void> {
    if (!this.isRewriteDue) {
      return;
    }
    this.isRewriteDue = false;
    const claimed = [...this.runs].filter(([, run]) => run.modRevision > 0);
    const records = new Map([
      ...claimed.map(([key, run]) => [key, this.toRecord(run)] as const),
      ...this.remembered.list(),
    ]);
    const rewrites = await Promise.all(
      [...records].map(([key, record]) => this.rewriteRecord(key, record)),
    );
    log({ message: `Wrote ${rewrites.length} run records again after a restore of the store.` });
    this.isRewriteDue ||= rewrites.includes('failed');
  }

  private async rewriteRecord(key: string, record: RunRecord): Promise<'written' | 'failed'> {
    const created = await this.writeRecord({ key, modRevision: 0, record });
    const found =
      created.isOk && created.value.kind === 'conflict' ? created.value.current : undefined;
    // A copy may hold an older state of the record, under a lease that is now another one's.
    const own = found?.unwrapOr(undefined);
    const written =
      own && hasClaimId(own, record.claimId)
        ? await this.writeRecord({ key, modRevision: own.modRevision, record })
        : created;
    if (written.isOk && written.value.kind === 'written') {
      this.runs.get(key)?.markClaimed({ modRevision: written.value.revision });
    }
    return written.isOk ? 'written' : 'failed';
  }

  private async retryUnwrittenResults(): Promise<void> {
    const writes = [...this.runs].flatMap(([key, run]) => {
      const end = run.takeUnwrittenResult();
      return end ? [this.writeResult(key, run, end)] : [];
    });
    await Promise.all(writes);
  }

  private async releaseUndispatched(): Promise<void> {
    for (const [key, claimId] of [...this.undispatched]) {
      const read = await this.opts.store.read(key);
      if (read.isErr) {
        return;
      }
      // A newer claim of the same key may have taken over the record in the meantime.
      if (this.undispatched.get(key) === claimId && !this.runs.has(key)) {
        this.undispatched.delete(key);
        const { entry } = read.value;
        if (entry.isJust && isUnfinishedClaim(entry.value, claimId)) {
          await this.groupCommit.write({ key, modRevision: entry.value.modRevision });
        }
      }
    }
  }

  private toRecord(run: LocalRun): RunRecord {
    const { nodeName, incarnation } = this.opts;
    const { bodyDigest, requestId, claimId } = run;
    return { state: 'claimed', bodyDigest, requestId, claimId, nodeName, incarnation };
  }
}
