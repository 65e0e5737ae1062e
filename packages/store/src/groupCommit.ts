import { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import { Maybe, Result } from 'true-myth';

import type { SwapOptions } from './compareAndSwap.js';
import type { StoreClient } from './storeClient.js';
import type { StoreEntry } from './storeTypes.js';

/** Options of {@link GroupCommit.create}. */
export interface GroupCommitOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  /** Time for which a write waits for others to join its transaction. */
  readonly windowMs: number;
  /** Time after which a transaction without a response is abandoned. */
  readonly timeoutMs: number;
}

/** A write of one key that applies only if the key has the expected revision. */
export interface GroupedWrite {
  readonly key: string;
  /** Expected revision; 0 if the key must be absent. */
  readonly modRevision: number;
  /** New value and its lease; if omitted, the key is deleted. */
  readonly put?: { readonly value: string; readonly leaseId: string };
}

/** Result of one write of a group; `conflict` means that it was not applied. */
export type GroupedWriteResult =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: Maybe<StoreEntry> };

interface PendingWrite {
  readonly write: GroupedWrite;
  readonly resolve: (result: Result<GroupedWriteResult, GalenatillerError>) => void;
}

const log = createLogger('store');

const MAX_GROUP_WRITES = 100;
const MAX_GROUP_CHARS = 600_000;

/** Attempts of one group; each removes the conflicting writes and sends the others again. */
const MAX_ATTEMPTS = 6;

/**
 * Combines writes of single keys into one transaction per time window, so that the number of store
 * calls grows with the number of nodes and not with the number of requests.
 */
export class GroupCommit {
  private pending: PendingWrite[] = [];

  private readonly tasks: TaskGroup;

  private constructor(private readonly opts: GroupCommitOptions) {
    this.tasks = TaskGroup.create({
      onFailure: (error) => {
        log({ message: `A group commit failed: ${String(error)}.` });
      },
    });
  }

  /** Creates a group commit without pending writes. */
  static create(opts: GroupCommitOptions): GroupCommit {
    return new GroupCommit(opts);
  }

  /** Writes one key together with the other writes of the same window. */
  write(write: GroupedWrite): Promise<Result<GroupedWriteResult, GalenatillerError>> {
    return new Promise((resolve) => {
      this.pending.push({ write, resolve });
      if (this.pending.length === 1) {
        this.tasks.start(() => this.flushAfterWindow());
      }
    });
  }

  private async flushAfterWindow(): Promise<void> {
    await this.opts.timer.sleep({ delayMs: this.opts.windowMs });
    const groups = splitGroups(this.pending);
    this.pending = [];
    await Promise.all(groups.map((group) => this.commit(group)));
  }

  private async commit(group: readonly PendingWrite[]): Promise<void> {
    let remaining = group;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && remaining.length > 0; attempt += 1) {
      remaining = await this.commitOnce(remaining);
    }
    remaining.forEach(({ resolve }) => {
      resolve(Result.err(createContentionError()));
    });
  }

  /** Sends one transaction, resolves the writes it decides and returns those to send again. */
  private async commitOnce(group: readonly PendingWrite[]): Promise<readonly PendingWrite[]> {
    const swap = await this.opts.store.compareAndSwap(toSwap(group, this.opts.timeoutMs));
    if (swap.isErr) {
      group.forEach(({ resolve }) => {
        resolve(Result.err(swap.error));
      });
      return [];
    }
    if (swap.value.kind === 'swapped') {
      const { revision } = swap.value;
      group.forEach(({ resolve }) => {
        resolve(Result.ok({ kind: 'written', revision }));
      });
      return [];
    }
    const current = new Map(swap.value.current.map((entry) => [entry.key, entry]));
    return group.filter(({ write, resolve }) => {
      const entry = current.get(write.key);
      if ((entry?.modRevision ?? 0) === write.modRevision) {
        return true;
      }
      resolve(Result.ok({ kind: 'conflict', current: Maybe.of(entry) }));
      return false;
    });
  }
}

/** A transaction is limited in writes and size, and may contain each key only once. */
function splitGroups(pending: readonly PendingWrite[]): readonly PendingWrite[][] {
  const groups: PendingWrite[][] = [];
  let keys = new Set<string>();
  let groupChars = 0;
  pending.forEach((item) => {
    const { key, put } = item.write;
    const chars = put?.value.length ?? 0;
    const isFull = keys.size >= MAX_GROUP_WRITES || groupChars + chars > MAX_GROUP_CHARS;
    if (groups.length === 0 || isFull || keys.has(key)) {
      groups.push([]);
      keys = new Set();
      groupChars = 0;
    }
    groups[groups.length - 1]?.push(item);
    keys.add(key);
    groupChars += chars;
  });
  return groups;
}

function toSwap(group: readonly PendingWrite[], timeoutMs: number): SwapOptions {
  return {
    timeoutMs,
    expected: group.map(({ write: { key, modRevision } }) => ({ key, modRevision })),
    puts: group.flatMap(({ write: { key, put } }) => (put ? [{ key, ...put }] : [])),
    deletes: group.flatMap(({ write: { key, put } }) => (put ? [] : [key])),
  };
}

function createContentionError(): GalenatillerError {
  return GalenatillerError.create({
    name: 'store-unavailable',
    detail: 'concurrent writers kept changing the keys',
  });
}
