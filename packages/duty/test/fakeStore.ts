/** A store in memory with leases, watches, restores and clients whose calls fail as scripted. */
import type {
  LeaseClient,
  PrefixChange,
  PrefixEntry,
  PrefixSource,
  ReadFailure,
  WriteIfUnchanged,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

/** A router as far as the store is concerned. */
export interface StoreCaller {
  /** Whether calls reach the store. */
  isCut: boolean;
  /** What happens to conditional writes: their answer is lost, or they are also executed late. */
  writes: 'answered' | 'answer-lost' | 'executed-late';
  /** How late changes are received. */
  watchLagMs: number;
  calls: number;
  /** Conditional writes among them. */
  conditionalWrites: number;
  /** Resolves while the router runs. */
  readonly whenRunning: () => Promise<void>;
  readonly onEra: (era: number) => void;
}

interface LeasedEntry extends PrefixEntry {
  readonly leaseId: string;
}

interface Lease {
  readonly ttlMs: number;
  endsAtMs: number;
}

/** What a restore brings back. */
export interface StoreCopy {
  readonly entries: ReadonlyMap<string, LeasedEntry>;
  readonly revision: number;
}

const LATENCY_MS = 5;

/** How late a write is executed whose answer doesn't come. */
export const LATE_MS = 4_000;

const UNANSWERED: ReadFailure = { kind: 'unanswered', detail: 'scripted' };

export class FakeStore {
  private entries = new Map<string, LeasedEntry>();

  private leases = new Map<string, Lease>();

  private history: { readonly revision: number; readonly change: PrefixChange }[] = [];

  private revision = 1;

  private granted = 0;

  private era = 1;

  private readonly wakers = new Set<() => void>();

  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): FakeStore {
    return new FakeStore(timer);
  }

  read(key: string): string | undefined {
    return this.entries.get(key)?.value.toString('utf8');
  }

  copy(): StoreCopy {
    return { entries: new Map(this.entries), revision: this.revision };
  }

  /** Comes back with an older copy; its leases last for their whole time once more. */
  restore(copy: StoreCopy): void {
    this.era += 1;
    this.entries = new Map(copy.entries);
    this.revision = copy.revision;
    this.history = [];
    const leaseIds = new Set([...copy.entries.values()].map(({ leaseId }) => leaseId));
    this.leases = new Map([...this.leases].filter(([id]) => leaseIds.has(id)));
    this.leases.forEach((lease, id) => this.extend(id, lease));
    this.wake();
  }

  /** Ends the leases of the entry of a key, as if they had expired too early. */
  dropLease(key: string): void {
    const lease = this.leases.get(this.entries.get(key)?.leaseId ?? '');
    if (lease) {
      lease.endsAtMs = 0;
      this.expire();
    }
  }

  createSource(caller: StoreCaller): PrefixSource {
    return {
      readPage: ({ prefix, signal }) =>
        this.call(caller, signal, () => ({
          entries: [...this.entries.values()]
            .filter(({ key }) => key.startsWith(prefix))
            .sort((left, right) => (left.key < right.key ? -1 : 1)),
          hasMore: false,
          storeRevision: this.revision,
        })),
      waitForChanges: async ({ prefix, afterRevision, waitMs, signal }) => {
        const find = (): PrefixChange[] =>
          this.history
            .filter(({ revision }) => revision > afterRevision)
            .map(({ change }) => change)
            .filter((change) => keyOf(change).startsWith(prefix));
        const { era } = this;
        const limit = this.timer.startTimeLimit({ limitMs: waitMs, parent: signal });
        while (find().length === 0 && !limit.signal.aborted && !caller.isCut && era === this.era) {
          await this.nextChange(limit.signal);
        }
        limit.release();
        const received = { changes: find(), storeRevision: this.revision };
        await this.timer.sleep({ delayMs: caller.watchLagMs });
        return this.call(caller, signal, () => received);
      },
    };
  }

  createWriter(caller: StoreCaller): WriteIfUnchanged {
    return async ({ key, value, expectedRevision, signal }) => {
      caller.conditionalWrites += 1;
      const execute = (): 'written' | 'changed' => {
        if ((this.entries.get(key)?.revision ?? 0) !== expectedRevision) {
          return 'changed';
        }
        this.put(key, value, '');
        return 'written';
      };
      if (caller.writes === 'executed-late') {
        this.timer.after({ delayMs: LATE_MS, notify: execute });
      }
      if (caller.writes === 'answered') {
        return this.call(caller, signal, execute);
      }
      const isExecuted = caller.writes === 'answer-lost';
      await this.call(caller, signal, () => isExecuted && execute());
      return Result.err(UNANSWERED);
    };
  }

  createLeases(caller: StoreCaller): LeaseClient {
    return {
      grant: ({ ttlMs, signal }) =>
        this.call(caller, signal, () => {
          this.granted += 1;
          const leaseId = String(this.granted);
          this.extend(leaseId, { ttlMs, endsAtMs: 0 });
          return { leaseId, ttlMs };
        }),
      keepAlive: ({ leaseId, signal }) =>
        this.call(caller, signal, () => {
          const lease = this.leases.get(leaseId);
          if (lease) {
            this.extend(leaseId, lease);
          }
          return lease ? 'kept' : 'ended';
        }),
      put: ({ key, value, leaseId, signal }) =>
        this.call(caller, signal, () => {
          if (!this.leases.has(leaseId)) {
            return 'ended';
          }
          this.put(key, value, leaseId);
          return 'written';
        }),
      revoke: async ({ leaseId, signal }) => {
        await this.call(caller, signal, () => {
          const lease = this.leases.get(leaseId);
          if (lease) {
            lease.endsAtMs = 0;
            this.expire();
          }
        });
      },
    };
  }

  private async call<Value>(
    caller: StoreCaller,
    signal: AbortSignal,
    run: () => Value,
  ): Promise<Result<Value, ReadFailure>> {
    caller.calls += 1;
    await this.timer.sleep({ delayMs: LATENCY_MS });
    if (caller.isCut || signal.aborted) {
      await caller.whenRunning();
      return Result.err(UNANSWERED);
    }
    const value = run();
    const { era } = this;
    await this.timer.sleep({ delayMs: LATENCY_MS });
    await caller.whenRunning();
    if (caller.isCut) {
      return Result.err(UNANSWERED);
    }
    caller.onEra(era);
    return Result.ok(value);
  }

  private put(key: string, value: Buffer, leaseId: string): void {
    this.revision += 1;
    const { revision } = this;
    const entry = { key, value, revision, leaseId };
    this.entries.set(key, entry);
    this.history.push({ revision, change: { kind: 'put', entry } });
    this.wake();
  }

  private extend(leaseId: string, lease: Lease): void {
    this.leases.set(leaseId, lease);
    lease.endsAtMs = this.timer.nowMs() + lease.ttlMs;
    this.timer.after({ delayMs: lease.ttlMs, notify: () => this.expire() });
  }

  private expire(): void {
    const nowMs = this.timer.nowMs();
    const ended = [...this.leases].filter(([, { endsAtMs }]) => endsAtMs <= nowMs);
    ended.forEach(([id]) => this.leases.delete(id));
    [...this.entries.values()]
      .filter(({ leaseId }) => leaseId !== '' && !this.leases.has(leaseId))
      .forEach(({ key }) => {
        this.revision += 1;
        this.entries.delete(key);
        const { revision } = this;
        this.history.push({ revision, change: { kind: 'delete', key, revision } });
      });
    this.wake();
  }

  private nextChange(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.wakers.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.wakers.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  private wake(): void {
    [...this.wakers].forEach((finish) => finish());
  }
}

function keyOf(change: PrefixChange): string {
  return change.kind === 'put' ? change.entry.key : change.key;
}
