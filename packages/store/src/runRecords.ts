import { randomUUID } from 'node:crypto';

import type { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import type { StageEnd } from '@galenatiller/types';
import { Result } from 'true-myth';

import { GroupCommit } from './groupCommit.js';
import { LocalRun } from './localRun.js';
import { RunLease } from './runLease.js';
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
import { decodeRunRecord, encodeRunRecord, runRecordKey } from './wireRunRecords.js';

/** Options of {@link RunRecords.create}. */
export interface RunRecordsOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly nodeName: string;
  /** Unique to the life of this process. */
  readonly incarnation: string;
  /** Time that a write waits for others, in milliseconds. */
  readonly groupWindowMs: number;
  /** Time for a claim to be written, in milliseconds. */
  readonly writeTimeoutMs?: number;
}

interface WriteRecordOptions {
  readonly key: string;
  readonly modRevision: number;
  readonly record: RunRecord;
  /** Whether a lapsed lease is an error. */
  readonly isLast?: boolean;
}

/** Time for which a key is remembered at least. */
export const RUN_RECORD_RETENTION_MS = 86_400_000;

/** Time for which records share one lease. */
const LEASE_BUCKET_MS = 3_600_000;

const MAX_RECORD_CHARS = 262_144;
const MAX_ROUNDS = 3;

const WRITE_LIMIT_MS = 800;

/** Claims and answers whose write failed and that are tried again; more are left as they are. */
const MAX_PENDING = 1_000;

const REPAIR_INTERVAL_MS = 1_000;

/**
 * Records of runs that may happen at most once. A run is claimed in the store before it is
 * dispatched; a claim that is not known to be written is not dispatched.
 */
export class RunRecords {
  /** Runs claimed by this node that have not ended, and answers not yet written. */
  private readonly runs = new Map<string, LocalRun>();

  /** Claims by key that may be in the store and were never dispatched. */
  private readonly undispatched = new Map<string, string>();

  private readonly group: GroupCommit;

  private readonly lease: RunLease;

  private constructor(private readonly opts: RunRecordsOptions) {
    const {
      store,
      timer,
      groupWindowMs: windowMs,
      writeTimeoutMs: limitMs = WRITE_LIMIT_MS,
    } = opts;
    this.group = GroupCommit.create({ store, timer, windowMs, timeoutMs: limitMs });
    const times = { rememberMs: RUN_RECORD_RETENTION_MS, bucketMs: LEASE_BUCKET_MS };
    this.lease = RunLease.create({ store, timer, ...times });
  }

  /** Makes records of a node that has claimed nothing. */
  static create(opts: RunRecordsOptions): RunRecords {
    return new RunRecords(opts);
  }

  /**
   * Claims a run. A repeat waits for a run of its key at this node. Every error has the outcome
   * `not-run`: `store-unavailable`, `store-ambiguous` or `call-budget-spent`.
   */
  async claim(request: RunRequest): Promise<Result<ClaimResult, GalenatillerError>> {
    const key = runRecordKey(request);
    for (let run = this.runs.get(key); run; run = this.runs.get(key)) {
      if (run.bodyDigest !== request.bodyDigest) {
        return Result.ok({ kind: 'key-reused' });
      }
      const claim = await run.wait(request.signal);
      if (claim) {
        return Result.ok(claim);
      }
    }
    const run = LocalRun.create({ ...request, claimId: randomUUID() });
    this.runs.set(key, run);
    const claim = await this.claimInStore(key, run);
    if (claim.isErr || claim.value.kind !== 'first') {
      this.runs.delete(key);
      run.giveUp();
    }
    return claim;
  }

  /** Keeps the answer of a run that was claimed here; an end that proves nothing leaves the claim. */
  async complete(opts: RunCompletion): Promise<Result<void, GalenatillerError>> {
    const key = runRecordKey(opts);
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
    return this.writeAnswer(key, run, end);
  }

  /** Gives up a run that may have happened; its claim stays, so that no repeat runs. */
  abandon(opts: RunName): void {
    const key = runRecordKey(opts);
    this.runs.get(key)?.end({ kind: 'may-have-run' });
    this.runs.delete(key);
  }

  /** Takes a claim back when it is proved that the run did not start. */
  async releaseNotRun(opts: RunName): Promise<Result<void, GalenatillerError>> {
    const key = runRecordKey(opts);
    const run = this.runs.get(key);
    if (!run) {
      return Result.err(createNotClaimedError());
    }
    const written = await this.group.write({ key, modRevision: run.modRevision });
    if (written.isErr) {
      this.rememberUndispatched(key, run.claimId);
    }
    this.runs.delete(key);
    run.giveUp();
    return written.map(() => undefined);
  }

  /** The task that writes late what an outage kept from the store. Ends when the signal aborts. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      await this.opts.timer.sleep({ delayMs: REPAIR_INTERVAL_MS, signal });
      await this.writeLateAnswers();
      await this.releaseUndispatched();
    }
  }

  private async claimInStore(
    key: string,
    run: LocalRun,
  ): Promise<Result<ClaimResult, GalenatillerError>> {
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const written = await this.writeRecord({ key, modRevision: 0, record: this.toRecord(run) });
      if (written.isErr) {
        this.noteFailedClaim(key, run, written.error);
        return Result.err(toNotRunError(written.error));
      }
      if (written.value.kind === 'written') {
        run.markClaimed({ modRevision: written.value.revision });
        return Result.ok({ kind: 'first' });
      }
      if (written.value.current.isJust) {
        return Result.ok(this.judge({ key, run, entry: written.value.current.value }));
      }
    }
    return Result.err(createContentionError());
  }

  /** Writes a record under the present lease, and once more when that lease has lapsed. */
  private async writeRecord(opts: WriteRecordOptions): ReturnType<GroupCommit['write']> {
    const { key, modRevision, record } = opts;
    const leaseId = await this.lease.current();
    if (leaseId.isErr) {
      return Result.err(leaseId.error);
    }
    const put = { value: encodeRunRecord(record), leaseId: leaseId.value };
    const written = await this.group.write({ key, modRevision, put });
    if (written.isOk || written.error.codeName !== 'lease-lost') {
      return written;
    }
    await this.lease.invalidate(leaseId.value);
    return opts.isLast ? written : this.writeRecord({ ...opts, isLast: true });
  }

  private judge(opts: {
    readonly key: string;
    readonly run: LocalRun;
    readonly entry: StoreEntry;
  }): ClaimResult {
    const { key, run, entry } = opts;
    const found = decodeRunRecord(entry.value);
    if (found.isNothing) {
      return { kind: 'may-have-run' };
    }
    const record = found.value;
    if (record.bodyDigest !== run.bodyDigest) {
      return { kind: 'key-reused' };
    }
    if (record.state === 'answered' && record.end) {
      return { kind: 'answered', end: record.end };
    }
    if (this.undispatched.get(key) !== record.claimId) {
      return { kind: 'may-have-run' };
    }
    // This node wrote the record, never learned so and never dispatched: the run is still to come.
    this.undispatched.delete(key);
    run.markClaimed({ modRevision: entry.modRevision, claimId: record.claimId });
    return { kind: 'first' };
  }

  private noteFailedClaim(key: string, run: LocalRun, error: GalenatillerError): void {
    if (error.codeName === 'store-ambiguous') {
      this.rememberUndispatched(key, run.claimId);
    }
  }

  private rememberUndispatched(key: string, claimId: string): void {
    if (this.undispatched.size < MAX_PENDING) {
      this.undispatched.set(key, claimId);
    }
  }

  private async writeAnswer(
    key: string,
    run: LocalRun,
    end: StageEnd,
  ): Promise<Result<void, GalenatillerError>> {
    const record: RunRecord = { ...this.toRecord(run), state: 'answered', end };
    const chars = encodeRunRecord(record).length;
    if (chars > MAX_RECORD_CHARS) {
      this.runs.delete(key);
      return Result.err(createResultTooLargeError(chars));
    }
    const written = await this.writeRecord({ key, modRevision: run.modRevision, record });
    if (written.isErr && this.runs.size < MAX_PENDING) {
      run.keepUnwrittenResult(end);
    } else {
      this.runs.delete(key);
    }
    return written.map(() => undefined);
  }

  private async writeLateAnswers(): Promise<void> {
    const late = [...this.runs].flatMap(([key, run]) => {
      const end = run.takeUnwrittenResult();
      return end ? [this.writeAnswer(key, run, end)] : [];
    });
    await Promise.all(late);
  }

  private async releaseUndispatched(): Promise<void> {
    for (const [key, claimId] of [...this.undispatched]) {
      const read = await this.opts.store.read(key);
      if (read.isErr) {
        return;
      }
      // A claim of the same key may have taken the record over meanwhile.
      if (this.undispatched.get(key) === claimId && !this.runs.has(key)) {
        this.undispatched.delete(key);
        const { entry } = read.value;
        if (entry.isJust && isClaim(entry.value, claimId)) {
          await this.group.write({ key, modRevision: entry.value.modRevision });
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

function isClaim(entry: StoreEntry, claimId: string): boolean {
  return decodeRunRecord(entry.value)
    .map((record) => record.claimId === claimId && record.state === 'claimed')
    .unwrapOr(false);
}
