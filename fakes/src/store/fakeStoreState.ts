import type { Cancel, TimerService } from '@galenatiller/timer';

import type {
  EtcdCompare,
  EtcdEvent,
  EtcdKeyValue,
  EtcdOperation,
  EtcdOperationResponse,
  EtcdPut,
  EtcdRange,
  EtcdRangeResponse,
  EtcdTxn,
  EtcdTxnResponse,
} from './etcdMessages.js';

interface StoredLease {
  readonly ttlMs: number;
  readonly keys: Set<string>;
  readonly cancel: Cancel;
}

const MS_PER_S = 1_000;

/** A copy of a store's contents, from which it can be restored. */
export interface FakeStoreCopy {
  readonly revision: number;
  readonly compactedRevision: number;
  readonly nextLeaseId: number;
  readonly entries: ReadonlyMap<string, EtcdKeyValue>;
  readonly history: readonly EtcdEvent[];
  readonly leases: ReadonlyMap<
    string,
    { readonly ttlMs: number; readonly keys: readonly string[] }
  >;
}

/** Keys, revisions and leases of a fake store, apart from faults and transport. */
export class FakeStoreState {
  /** Revision of the last write. */
  revision = 1;

  /** Identifies the store between two restores. */
  clusterId = 1;

  /** Changes before this revision have been compacted. */
  compactedRevision = 0;

  private readonly entries = new Map<string, EtcdKeyValue>();

  private readonly leases = new Map<string, StoredLease>();

  private readonly history: EtcdEvent[] = [];

  private readonly listeners = new Set<(events: readonly EtcdEvent[]) => void>();

  private nextLeaseId = 1;

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty store. */
  static create(opts: { readonly timer: TimerService }): FakeStoreState {
    return new FakeStoreState(opts.timer);
  }

  /** Reads the keys of a range, sorted. */
  range(request: EtcdRange): EtcdRangeResponse {
    const keys = this.findKeys(request).sort();
    const limit = Number(request.limit ?? 0) || keys.length;
    const kvs = keys
      .slice(0, limit)
      .map((key) => this.entries.get(key) as EtcdKeyValue)
      .map((entry) => (request.keys_only ? { ...entry, value: '' } : entry));
    return { kvs, more: keys.length > limit, count: String(keys.length) };
  }

  /** Runs the success or failure branch of a transaction; all its writes get the same revision. */
  txn(request: EtcdTxn): EtcdTxnResponse {
    const succeeded = (request.compare ?? []).every((compare) => this.isSatisfied(compare));
    const operations = (succeeded ? request.success : request.failure) ?? [];
    const events: EtcdEvent[] = [];
    const responses = operations.map((operation) => this.run(operation, events));
    this.commit(events);
    return { succeeded, responses };
  }

  /** Whether a lease exists; true for id 0, which means no lease. */
  hasLease(leaseId: string): boolean {
    return leaseId === '0' || this.leases.has(leaseId);
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): string {
    const leaseId = String(this.nextLeaseId);
    this.nextLeaseId += 1;
    this.startLease(leaseId, { ttlMs, keys: new Set(), cancel: () => {} });
    return leaseId;
  }

  /** Renews a lease and returns its time to live in seconds; 0 when the lease does not exist. */
  keepLeaseAlive(leaseId: string): number {
    const lease = this.leases.get(leaseId);
    if (!lease) {
      return 0;
    }
    this.startLease(leaseId, lease);
    return lease.ttlMs / MS_PER_S;
  }

  /** Revokes a lease and deletes its keys. */
  revokeLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    this.leases.delete(leaseId);
    lease?.cancel();
    const events: EtcdEvent[] = [];
    lease?.keys.forEach((key) => this.remove(key, events));
    this.commit(events);
  }

  /** Expires every lease at once. */
  expireLeases(): void {
    [...this.leases.keys()].forEach((leaseId) => {
      this.revokeLease(leaseId);
    });
  }

  /** Copies the contents. */
  copy(): FakeStoreCopy {
    const { revision, compactedRevision, nextLeaseId } = this;
    const leases = [...this.leases].map(
      ([leaseId, { ttlMs, keys }]) => [leaseId, { ttlMs, keys: [...keys] }] as const,
    );
    return {
      ...{ revision, compactedRevision, nextLeaseId },
      entries: new Map(this.entries),
      history: [...this.history],
      leases: new Map(leases),
    };
  }

  /** Restores a copy: later writes are lost, and revisions and lease ids are given out again. */
  restore(copy: FakeStoreCopy): void {
    this.leases.forEach(({ cancel }) => cancel());
    this.leases.clear();
    this.entries.clear();
    copy.entries.forEach((entry, key) => this.entries.set(key, entry));
    this.history.splice(0, this.history.length, ...copy.history);
    this.revision = copy.revision;
    this.compactedRevision = copy.compactedRevision;
    this.nextLeaseId = copy.nextLeaseId;
    copy.leases.forEach(({ ttlMs, keys }, leaseId) => {
      this.startLease(leaseId, { ttlMs, keys: new Set(keys), cancel: () => {} });
    });
    this.clusterId += 1;
  }

  /** Discards the history up to the current revision. */
  compact(): void {
    this.history.length = 0;
    this.compactedRevision = this.revision + 1;
  }

  /** Returns the changes of keys in a range, starting with a revision. */
  listEventsFrom(opts: EtcdRange & { readonly fromRevision: number }): readonly EtcdEvent[] {
    return this.history.filter(
      ({ kv }) =>
        Number(kv.mod_revision) >= opts.fromRevision && isInRange(opts, decodeBase64(kv.key)),
    );
  }

  /** Adds a listener for the events of each write. */
  onEvents(listener: (events: readonly EtcdEvent[]) => void): Cancel {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private findKeys(request: EtcdRange): string[] {
    if (request.range_end === undefined) {
      const key = decodeBase64(request.key);
      return this.entries.has(key) ? [key] : [];
    }
    return [...this.entries.keys()].filter((key) => isInRange(request, key));
  }

  private isSatisfied(compare: EtcdCompare): boolean {
    const entry = this.entries.get(decodeBase64(compare.key));
    return compare.target === 'MOD'
      ? (entry?.mod_revision ?? '0') === compare.mod_revision
      : (entry?.create_revision ?? '0') === compare.create_revision;
  }

  private run(operation: EtcdOperation, events: EtcdEvent[]): EtcdOperationResponse {
    if (operation.request_put) {
      this.put(operation.request_put, events);
      return { response_put: {} };
    }
    if (operation.request_delete_range) {
      const keys = this.findKeys(operation.request_delete_range);
      keys.forEach((key) => {
        this.remove(key, events);
      });
      return { response_delete_range: { deleted: String(keys.length) } };
    }
    return { response_range: this.range(operation.request_range as EtcdRange) };
  }

  private put(request: EtcdPut, events: EtcdEvent[]): void {
    const key = decodeBase64(request.key);
    const previous = this.entries.get(key);
    const modRevision = String(this.revision + 1);
    const kv = {
      key: request.key,
      value: request.value,
      create_revision: previous?.create_revision ?? modRevision,
      mod_revision: modRevision,
      version: String(Number(previous?.version ?? 0) + 1),
      lease: request.lease ?? '0',
    };
    this.leases.get(previous?.lease ?? '0')?.keys.delete(key);
    this.leases.get(kv.lease)?.keys.add(key);
    this.entries.set(key, kv);
    events.push({ type: 'PUT', kv });
  }

  private remove(key: string, events: EtcdEvent[]): void {
    const previous = this.entries.get(key);
    if (!previous) {
      return;
    }
    this.entries.delete(key);
    this.leases.get(previous.lease)?.keys.delete(key);
    const kv = { ...previous, value: '', mod_revision: String(this.revision + 1) };
    events.push({ type: 'DELETE', kv });
  }

  private commit(events: readonly EtcdEvent[]): void {
    if (events.length === 0) {
      return;
    }
    this.revision += 1;
    this.history.push(...events);
    this.listeners.forEach((listener) => {
      listener(events);
    });
  }

  private startLease(leaseId: string, lease: StoredLease): void {
    lease.cancel();
    const cancel = this.timer.after({
      delayMs: lease.ttlMs,
      notify: () => {
        this.revokeLease(leaseId);
      },
    });
    this.leases.set(leaseId, { ...lease, cancel });
  }
}

/** Whether a key is in a range. */
export function isInRange(range: EtcdRange, key: string): boolean {
  return range.range_end === undefined
    ? key === decodeBase64(range.key)
    : key >= decodeBase64(range.key) && key < decodeBase64(range.range_end);
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
