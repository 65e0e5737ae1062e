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
  /** Time that a write waits for others, in milliseconds. */
  readonly windowMs: number;
  /** Time after which the answer to a transaction is given up, in milliseconds. */
  readonly timeoutMs: number;
}

/** A write of one key if it has the expected revision. */
export interface GroupedWrite {
  readonly key: string;
  /** Expected revision; 0 when the key has to be absent. */
  readonly modRevision: number;
  /** New value and its lease; without it the key is deleted. */
  readonly put?: { readonly value: string; readonly leaseId: string };
}

/** How one write of a group went; after `conflict` it did nothing. */
export type GroupedWriteResult =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: Maybe<StoreEntry> };

interface WaitingWrite {
  readonly write: GroupedWrite;
  readonly answer: (answer: Result<GroupedWriteResult, GalenatillerError>) => void;
}

const log = createLogger('store');

const MAX_GROUP_WRITES = 100;
const MAX_GROUP_CHARS = 600_000;

/** Rounds in which writes that conflict are taken out before the rest is given up. */
const MAX_ROUNDS = 6;

/**
 * Joins writes of single keys into transactions, one for each time window, so that calls to the
 * store grow with nodes and not with requests.
 */
export class GroupCommit {
  private waiting: WaitingWrite[] = [];

  private readonly tasks: TaskGroup;

  private constructor(private readonly opts: GroupCommitOptions) {
    this.tasks = TaskGroup.create({
      onFailure: (error) => {
        log({ message: `A group of writes failed: ${String(error)}.` });
      },
    });
  }

  /** Makes a group commit with nothing to write. */
  static create(opts: GroupCommitOptions): GroupCommit {
    return new GroupCommit(opts);
  }

  /** Writes one key with those that come in the same window. */
  write(write: GroupedWrite): Promise<Result<GroupedWriteResult, GalenatillerError>> {
    return new Promise((answer) => {
      this.waiting.push({ write, answer });
      if (this.waiting.length === 1) {
        this.tasks.start(() => this.flushAfterWindow());
      }
    });
  }

  private async flushAfterWindow(): Promise<void> {
    await this.opts.timer.sleep({ delayMs: this.opts.windowMs });
    const groups = splitGroups(this.waiting);
    this.waiting = [];
    await Promise.all(groups.map((group) => this.commit(group)));
  }

  private async commit(group: readonly WaitingWrite[]): Promise<void> {
    let rest = group;
    for (let round = 0; round < MAX_ROUNDS && rest.length > 0; round += 1) {
      rest = await this.commitOnce(rest);
    }
    rest.forEach(({ answer }) => {
      answer(Result.err(contended()));
    });
  }

  /** Sends one transaction, answers what it settles, and gives the writes to be sent again. */
  private async commitOnce(group: readonly WaitingWrite[]): Promise<readonly WaitingWrite[]> {
    const swap = await this.opts.store.compareAndSwap(toSwap(group, this.opts.timeoutMs));
    if (swap.isErr) {
      group.forEach(({ answer }) => {
        answer(Result.err(swap.error));
      });
      return [];
    }
    if (swap.value.kind === 'swapped') {
      const { revision } = swap.value;
      group.forEach(({ answer }) => {
        answer(Result.ok({ kind: 'written', revision }));
      });
      return [];
    }
    const current = new Map(swap.value.current.map((entry) => [entry.key, entry]));
    return group.filter(({ write, answer }) => {
      const entry = current.get(write.key);
      if ((entry?.modRevision ?? 0) === write.modRevision) {
        return true;
      }
      answer(Result.ok({ kind: 'conflict', current: Maybe.of(entry) }));
      return false;
    });
  }
}

/** A transaction has a bound on its writes and size, and may name a key only once. */
function splitGroups(waiting: readonly WaitingWrite[]): readonly WaitingWrite[][] {
  const groups: WaitingWrite[][] = [];
  let keys = new Set<string>();
  let chars = 0;
  waiting.forEach((item) => {
    const { key, put } = item.write;
    const size = put?.value.length ?? 0;
    const full = keys.size >= MAX_GROUP_WRITES || chars + size > MAX_GROUP_CHARS;
    if (groups.length === 0 || full || keys.has(key)) {
      groups.push([]);
      keys = new Set();
      chars = 0;
    }
    groups[groups.length - 1]?.push(item);
    keys.add(key);
    chars += size;
  });
  return groups;
}

function toSwap(group: readonly WaitingWrite[], limitMs: number): SwapOptions {
  return {
    timeoutMs: limitMs,
    expected: group.map(({ write: { key, modRevision } }) => ({ key, modRevision })),
    puts: group.flatMap(({ write: { key, put } }) => (put ? [{ key, ...put }] : [])),
    deletes: group.flatMap(({ write: { key, put } }) => (put ? [] : [key])),
  };
}

function contended(): GalenatillerError {
  return GalenatillerError.create({
    name: 'store-unavailable',
    detail: 'other writers kept changing the keys',
  });
}
