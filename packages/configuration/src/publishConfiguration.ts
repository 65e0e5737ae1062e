import { randomUUID } from 'node:crypto';

import { MAX_STORE_VALUE_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { HEAD_KEY, parseShardKey, shardKey } from './configurationKeys.js';
import { deleteOldShards } from './deleteOldShards.js';
import { diffRules } from './diffRules.js';
import type { ConfigurationHead, RevisionDelta, ShardReference, StoredHead } from './headTypes.js';
import { trimDeltas } from './trimDeltas.js';
import { readHead } from './readHead.js';
import { createShardReader } from './createShardReader.js';
import { loadShardHash, type Shard, shardRules } from './shardRules.js';
import { encodeHead } from './wire.js';
import { writeShards } from './writeShards.js';

/** Options of {@link publishConfiguration}. */
export interface PublishConfigurationOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly author: string;
  /** The revision that the author edited; 0 for the first. */
  readonly baseRevision: number;
  /** Every rule that is to be in force. */
  readonly rules: readonly Rule[];
}

/** An accepted change, or one that changed nothing. */
export interface PublishResult {
  readonly kind: 'published' | 'unchanged';
  readonly revision: number;
}

/** Why a change was not accepted, and the changes of others since the base revision. */
export interface PublishFailure {
  readonly error: GalenatillerError;
  readonly otherChanges: readonly RevisionDelta[];
}

/** A new revision on its way to the store. */
interface Change {
  readonly base: StoredHead;
  readonly head: ConfigurationHead;
  /** Shards that go into the same swap as the head. */
  readonly puts: readonly KeyWrite[];
}

/** Leaves room for the write token in a value. */
const MAX_SHARD_BYTES = MAX_STORE_VALUE_BYTES - 64;

/** Reads of the head to settle whether a change was accepted. */
const SETTLE_READS = 5;
const SETTLE_DELAY_MS = 200;

/**
 * Makes a set of rules the next revision by one swap of the head; nothing is in force before it and
 * all is after it. A lost race gives `revision-conflict` with the other changes and changes nothing.
 */
export async function publishConfiguration(
  opts: PublishConfigurationOptions,
): Promise<Result<PublishResult, PublishFailure>> {
  const { store } = opts;
  const base = await readHead(store);
  if (base.isErr) {
    return refuse(base.error);
  }
  if (base.value.head.revision !== opts.baseRevision) {
    return refuseConflict(opts, base.value.head);
  }
  const shards = shardRules(opts.rules, await loadShardHash());
  const changedShards = shards.filter((shard) => !isStored(shard, base.value.head));
  if (changedShards.length === 0) {
    return Result.ok({ kind: 'unchanged', revision: opts.baseRevision });
  }
  const tooLarge = changedShards.find(({ text }) => Buffer.byteLength(text) > MAX_SHARD_BYTES);
  if (tooLarge) {
    return refuse(shardTooLarge(tooLarge));
  }
  const change = await prepare({ ...opts, base: base.value, changedShards });
  if (change.isErr) {
    return refuse(change.error);
  }
  const published = await swapHead(opts, change.value);
  if (published.isOk) {
    await deleteOldShards({ store, head: change.value.head });
  }
  return published;
}

function isStored(shard: Shard, head: ConfigurationHead): boolean {
  const stored = head.shards[shard.index];
  return stored !== undefined && parseShardKey(stored.key).digest === shard.digest;
}

interface PrepareOptions extends PublishConfigurationOptions {
  readonly base: StoredHead;
  readonly changedShards: readonly Shard[];
}

async function prepare(opts: PrepareOptions): Promise<Result<Change, GalenatillerError>> {
  const { store, base, changedShards, author } = opts;
  const indexes = new Set(changedShards.map(({ index }) => index));
  const replaced = base.head.shards.filter(({ index }) => indexes.has(index));
  const before = await createShardReader(store)(replaced);
  if (before.isErr) {
    return Result.err(before.error);
  }
  const revision = base.head.revision + 1;
  const changeId = randomUUID();
  const wallMs = opts.timer.wallMs();
  const delta = {
    ...{ revision, author, wallMs, changeId },
    ...diffRules({
      before: before.value.flatMap(({ rules }) => rules),
      after: changedShards.flatMap(({ rules }) => rules),
    }),
  };
  const written = await writeShards({ store, revision, shards: changedShards });
  return written.map((puts) => ({
    base,
    puts,
    head: {
      ...{ revision, author, wallMs, changeId },
      shards: newReferences({ base: base.head, changedShards, revision }),
      retiredKeys: replaced.map(({ key }) => key),
      deltas: trimDeltas([...base.head.deltas, delta]),
    },
  }));
}

function newReferences(opts: {
  readonly base: ConfigurationHead;
  readonly changedShards: readonly Shard[];
  readonly revision: number;
}): readonly ShardReference[] {
  const { base, changedShards, revision } = opts;
  const references = new Map(base.shards.map((shard) => [shard.index, shard]));
  changedShards.forEach(({ index, digest }) => {
    references.set(index, { index, key: shardKey({ revision, index, digest }) });
  });
  return [...references.values()].sort((left, right) => left.index - right.index);
}

async function swapHead(
  opts: PublishConfigurationOptions,
  change: Change,
): Promise<Result<PublishResult, PublishFailure>> {
  const { base, head, puts } = change;
  const swap = await opts.store.compareAndSwap({
    expected: [{ key: HEAD_KEY, modRevision: base.modRevision }],
    puts: [...puts, { key: HEAD_KEY, value: encodeHead(head) }],
  });
  if (swap.isOk && swap.value.kind === 'swapped') {
    return Result.ok({ kind: 'published', revision: head.revision });
  }
  if (swap.isOk && swap.value.kind === 'conflict') {
    return tellConflict(opts);
  }
  if (swap.isErr && swap.error.codeName !== 'store-ambiguous') {
    return refuse(swap.error);
  }
  return settle(opts, change);
}

async function tellConflict(
  opts: PublishConfigurationOptions,
): Promise<Result<PublishResult, PublishFailure>> {
  const read = await readHead(opts.store);
  if (read.isOk) {
    return refuseConflict(opts, read.value.head);
  }
  const detail = 'another change was accepted; the store does not say which';
  return refuse(GalenatillerError.create({ name: 'revision-conflict', detail }));
}

/** Finds out from the head and its deltas whose change became the next revision. */
async function settle(
  opts: PublishConfigurationOptions,
  change: Change,
): Promise<Result<PublishResult, PublishFailure>> {
  const { revision, changeId } = change.head;
  for (let reads = 0; reads < SETTLE_READS; reads += 1) {
    const read = await readHead(opts.store);
    const next = read
      .map(({ head }) => [head, ...head.deltas].find((view) => view.revision === revision))
      .unwrapOr(undefined);
    if (next?.changeId === changeId) {
      return Result.ok({ kind: 'published', revision });
    }
    if (read.isOk && next) {
      return refuseConflict(opts, read.value.head);
    }
    await opts.timer.sleep({ delayMs: SETTLE_DELAY_MS });
  }
  const detail = `revision ${revision} may have been accepted; look at status`;
  return refuse(GalenatillerError.create({ name: 'store-ambiguous', detail }));
}

function shardTooLarge({ index, text }: Shard): GalenatillerError {
  return GalenatillerError.create({
    name: 'rules-invalid',
    detail: `shard ${index} has ${Buffer.byteLength(text)} bytes, at most ${MAX_SHARD_BYTES} fit`,
  });
}

function refuseConflict(
  opts: PublishConfigurationOptions,
  head: ConfigurationHead,
): Result<PublishResult, PublishFailure> {
  const error = GalenatillerError.create({
    name: 'revision-conflict',
    detail: `revision ${head.revision} by ${head.author} is in force, not revision ${opts.baseRevision}`,
  });
  const otherChanges = head.deltas.filter((delta) => delta.revision > opts.baseRevision);
  return Result.err({ error, otherChanges });
}

function refuse(error: GalenatillerError): Result<PublishResult, PublishFailure> {
  return Result.err({ error, otherChanges: [] });
}
