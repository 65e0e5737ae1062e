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

/** Keys, revisions and leases of the stand-in store: what it keeps, without faults or encoding. */
export class FakeStoreState {
  /** Number of the last write. */
  revision = 1;

  /** Changes before this revision are forgotten. */
  compactedRevision = 0;

  private readonly entries = new Map<string, EtcdKeyValue>();

  private readonly leases = new Map<string, StoredLease>();

  private readonly history: EtcdEvent[] = [];

  private readonly listeners = new Set<(events: readonly EtcdEvent[]) => void>();

  private nextLeaseId = 1;

  private constructor(private readonly timer: TimerService) {}

  /** Makes an empty store. */
  static create(opts: { readonly timer: TimerService }): FakeStoreState {
    return new FakeStoreState(opts.timer);
  }

  /** Reads keys in order. */
  range(request: EtcdRange): EtcdRangeResponse {
    const keys = this.keysOf(request).sort();
    const limit = Number(request.limit ?? 0) || keys.length;
    const kvs = keys
      .slice(0, limit)
      .map((key) => this.entries.get(key) as EtcdKeyValue)
      .map((entry) => (request.keys_only ? { ...entry, value: '' } : entry));
    return { kvs, more: keys.length > limit, count: String(keys.length) };
  }

  /** Runs one branch of a transaction at one revision. */
  txn(request: EtcdTxn): EtcdTxnResponse {
    const succeeded = (request.compare ?? []).every((compare) => this.holds(compare));
    const operations = (succeeded ? request.success : request.failure) ?? [];
    const events: EtcdEvent[] = [];
    const responses = operations.map((operation) => this.run(operation, events));
    this.commit(events);
    return { succeeded, responses };
  }

  /** Whether a lease exists; id 0 stands for none. */
  hasLease(leaseId: string): boolean {
    return leaseId === '0' || this.leases.has(leaseId);
  }

  /** Grants a lease and gives its id. */
  grantLease(ttlMs: number): string {
    const leaseId = String(this.nextLeaseId);
    this.nextLeaseId += 1;
    this.startLease(leaseId, { ttlMs, keys: new Set(), cancel: () => {} });
    return leaseId;
  }

  /** Starts a lease anew and gives its time in seconds; 0 when there is no such lease. */
  keepLeaseAlive(leaseId: string): number {
    const lease = this.leases.get(leaseId);
    if (!lease) {
      return 0;
    }
    this.startLease(leaseId, lease);
    return lease.ttlMs / MS_PER_S;
  }

  /** Ends a lease and deletes its keys. */
  revokeLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    this.leases.delete(leaseId);
    lease?.cancel();
    const events: EtcdEvent[] = [];
    lease?.keys.forEach((key) => this.remove(key, events));
    this.commit(events);
  }

  /** Ends every lease at once. */
  expireLeases(): void {
    [...this.leases.keys()].forEach((leaseId) => {
      this.revokeLease(leaseId);
    });
  }

  /** Forgets the history up to now. */
  compact(): void {
    this.history.length = 0;
    this.compactedRevision = this.revision + 1;
  }

  /** Changes of keys in a range from a revision on. */
  listEventsFrom(opts: EtcdRange & { readonly fromRevision: number }): readonly EtcdEvent[] {
    return this.history.filter(
      ({ kv }) => Number(kv.mod_revision) >= opts.fromRevision && isInRange(opts, decode(kv.key)),
    );
  }

  /** Calls a listener with the events of each write. */
  onEvents(listener: (events: readonly EtcdEvent[]) => void): Cancel {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private keysOf(request: EtcdRange): string[] {
    if (request.range_end === undefined) {
      const key = decode(request.key);
      return this.entries.has(key) ? [key] : [];
    }
    return [...this.entries.keys()].filter((key) => isInRange(request, key));
  }

  private holds(compare: EtcdCompare): boolean {
    const entry = this.entries.get(decode(compare.key));
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
      const keys = this.keysOf(operation.request_delete_range);
      keys.forEach((key) => {
        this.remove(key, events);
      });
      return { response_delete_range: { deleted: String(keys.length) } };
    }
    return { response_range: this.range(operation.request_range as EtcdRange) };
  }

  private put(request: EtcdPut, events: EtcdEvent[]): void {
    const key = decode(request.key);
    const old = this.entries.get(key);
    const modRevision = String(this.revision + 1);
    const kv = {
      key: request.key,
      value: request.value,
      create_revision: old?.create_revision ?? modRevision,
      mod_revision: modRevision,
      version: String(Number(old?.version ?? 0) + 1),
      lease: request.lease ?? '0',
    };
    this.leases.get(old?.lease ?? '0')?.keys.delete(key);
    this.leases.get(kv.lease)?.keys.add(key);
    this.entries.set(key, kv);
    events.push({ type: 'PUT', kv });
  }

  private remove(key: string, events: EtcdEvent[]): void {
    const old = this.entries.get(key);
    if (!old) {
      return;
    }
    this.entries.delete(key);
    this.leases.get(old.lease)?.keys.delete(key);
    const kv = { ...old, value: '', mod_revision: String(this.revision + 1) };
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

/** Whether a key lies in a range. */
export function isInRange(range: EtcdRange, key: string): boolean {
  return range.range_end === undefined
    ? key === decode(range.key)
    : key >= decode(range.key) && key < decode(range.range_end);
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
