import {
  type LeaseClient,
  MEMBER_LEASE_MS,
  type PrefixEntry,
  type PrefixSource,
  type ReadFailure,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

const AWAY: ReadFailure = { kind: 'unanswered', detail: 'scripted' };

/** Interval at which the store is checked for changes. */
export const POLL_MS = 20;

/** A store of leased entries in memory. */
export class MemberStore {
  isAway = false;

  /** Clients whose calls about leases get no answer; they still read. */
  readonly cutOff = new Set<string>();

  /** The answer to the next write is lost, and the write is done this much later. */
  nextWriteLateMs: number | undefined;

  private readonly leaseEndsAtMs = new Map<string, number>();

  private readonly entries = new Map<string, PrefixEntry & { readonly leaseId: string }>();

  private readonly lastingKeys = new Set<string>();

  private revision = 1;

  private clients = 0;

  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): MemberStore {
    return new MemberStore(timer);
  }

  /** Writes an entry, unless its lease has ended; it is removed when its lease ends. */
  put(key: string, value: Buffer, leaseId: string): 'written' | 'ended' {
    if (this.timer.nowMs() >= (this.leaseEndsAtMs.get(leaseId) ?? Infinity)) {
      return 'ended';
    }
    this.revision += 1;
    this.entries.set(key, { key, value, revision: this.revision, leaseId });
    return 'written';
  }

  /** Writes a key that lasts, unless it is there. */
  writeOnce(key: string): 'written' | 'changed' {
    const isThere = this.lastingKeys.has(key);
    this.lastingKeys.add(key);
    return isThere ? 'changed' : 'written';
  }

  /** Starts or renews a lease. */
  keep(leaseId: string): void {
    const endsAtMs = this.timer.nowMs() + MEMBER_LEASE_MS;
    this.leaseEndsAtMs.set(leaseId, endsAtMs);
    this.timer.after({
      delayMs: MEMBER_LEASE_MS,
      notify: () => {
        if (this.leaseEndsAtMs.get(leaseId) === endsAtMs) {
          this.removeEntries(leaseId);
        }
      },
    });
  }

  private removeEntries(leaseId: string): void {
    const owned = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    owned.forEach(({ key }) => this.entries.delete(key));
    this.revision += 1;
  }

  readonly source: PrefixSource = {
    readPage: () => Promise.resolve(this.isAway ? Result.err(AWAY) : Result.ok(this.readPage())),
    // Each change of the revision is answered as lost history, so that all entries are read again.
    waitForChanges: async ({ afterRevision, waitMs }) => {
      const untilMs = this.timer.nowMs() + waitMs;
      while (!this.isAway && this.revision === afterRevision && this.timer.nowMs() < untilMs) {
        await this.timer.sleep({ delayMs: POLL_MS });
      }
      if (this.isAway) {
        return Result.err(AWAY);
      }
      return this.revision === afterRevision
        ? Result.ok({ changes: [], storeRevision: this.revision })
        : Result.err({ kind: 'history-lost', detail: 'scripted' });
    },
  };

  createLeases(name: string): LeaseClient {
    let granted = 0;
    this.clients += 1;
    const prefix = this.clients;
    return {
      grant: ({ ttlMs }) => {
        granted += 1;
        const leaseId = `${prefix}-${granted}`;
        return this.call(name, () => {
          this.keep(leaseId);
          return { leaseId, ttlMs };
        });
      },
      keepAlive: ({ leaseId }) =>
        this.call(name, () => {
          const isOver = this.timer.nowMs() >= (this.leaseEndsAtMs.get(leaseId) ?? 0);
          if (!isOver) {
            this.keep(leaseId);
          }
          return isOver ? 'ended' : 'kept';
        }),
      put: ({ key, value, leaseId }) => {
        const delayMs = this.nextWriteLateMs;
        this.nextWriteLateMs = undefined;
        if (delayMs === undefined) {
          return this.call(name, () => this.put(key, value, leaseId));
        }
        this.timer.after({ delayMs, notify: () => this.put(key, value, leaseId) });
        return Promise.resolve(Result.err(AWAY));
      },
      revoke: async ({ leaseId }) => {
        await this.call(name, () => {
          this.leaseEndsAtMs.set(leaseId, 0);
          this.removeEntries(leaseId);
        });
      },
    };
  }

  private readPage(): {
    readonly entries: readonly PrefixEntry[];
    readonly hasMore: boolean;
    readonly storeRevision: number;
  } {
    return { entries: [...this.entries.values()], hasMore: false, storeRevision: this.revision };
  }

  private call<Value>(name: string, run: () => Value): Promise<Result<Value, ReadFailure>> {
    const isUnanswered = this.isAway || this.cutOff.has(name);
    return Promise.resolve(isUnanswered ? Result.err(AWAY) : Result.ok(run()));
  }
}
