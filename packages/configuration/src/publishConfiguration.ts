import { randomUUID } from 'node:crypto';

import { MAX_STORE_VALUE_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { HEAD_KEY, parseShardKey, createShardKey } from './configurationKeys.js';
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
  /** The revision on which the change is based; 0 for the first publication. */
  readonly baseRevision: number;
  /** The complete set of rules of the new revision. */
  readonly rules: readonly Rule[];
  /** A revision that the rules include although it is not in the store; the new one is higher. */
  readonly mergedRevision?: number;
}

/** The revision after an accepted publication; `unchanged` if the rules were the same. */
export interface PublishResult {
  readonly kind: 'published' | 'unchanged';
  readonly revision: number;
}

/** Why a change was not accepted, and the changes made by others since the base revision. */
export interface PublishFailure {
  readonly error: GalenatillerError;
  readonly concurrentChanges: readonly RevisionDelta[];
}

/** A new revision that is ready to be stored. */
interface Change {
  readonly base: StoredHead;
  readonly head: ConfigurationHead;
  /** Shards that are written in the same swap as the head. */
  readonly puts: readonly KeyWrite[];
}

/** Reserves 64 bytes of the value for the write token. */
const MAX_SHARD_BYTES = MAX_STORE_VALUE_BYTES - 64;

/** Number of reads of the head to find out whether a change was accepted. */
const MAX_OUTCOME_READS = 5;
const OUTCOME_READ_DELAY_MS = 200;

/**
 * Publishes a set of rules as the next revision. A single swap of the head activates all changes
 * atomically. If another change is accepted first, fails with `revision-conflict` and the concurrent
 * changes, and changes nothing.
 */
export async function publishConfiguration(
  opts: PublishConfigurationOptions,
): Promise<Result<PublishResult, PublishFailure>> {
  const { store } = opts;
  const base = await readHead(store);
  if (base.isErr) {
    return fail(base.error);
  }
  if (base.value.head.revision !== opts.baseRevision) {
    return failWithConflict(opts, base.value.head);
  }
  const shards = shardRules(opts.rules, await loadShardHash());
  const changedShards = shards.filter((shard) => !isUnchanged(shard, base.value.head));
  if (changedShards.length === 0) {
    return Result.ok({ kind: 'unchanged', revision: opts.baseRevision });
  }
  const oversizedShard = changedShards.find(
    ({ text }) => Buffer.byteLength(text) > MAX_SHARD_BYTES,
  );
  if (oversizedShard) {
    return fail(createShardTooLargeError(oversizedShard));
  }
  const change = await prepareChange({ ...opts, base: base.value, changedShards });
  if (change.isErr) {
    return fail(change.error);
  }
  const published = await swapHead(opts, change.value);
  if (published.isOk) {
    await deleteOldShards({ store, head: change.value.head });
  }
  return published;
}

function isUnchanged(shard: Shard, head: ConfigurationHead): boolean {
  const stored = head.shards[shard.index];
  return stored !== undefined && parseShardKey(stored.key).digest === shard.digest;
}

interface PrepareChangeOptions extends PublishConfigurationOptions {
  readonly base: StoredHead;
  readonly changedShards: readonly Shard[];
}

async function prepareChange(
  opts: PrepareChangeOptions,
): Promise<Result<Change, GalenatillerError>> {
  const { store, base, changedShards, author } = opts;
  const changedIndexes = new Set(changedShards.map(({ index }) => index));
  const replacedShards = base.head.shards.filter(({ index }) => changedIndexes.has(index));
  const shardsBefore = await createShardReader(store)(replacedShards);
  if (shardsBefore.isErr) {
    return Result.err(shardsBefore.error);
  }
  const { mergedRevision = 0 } = opts;
  const revision = Math.max(base.head.revision, mergedRevision) + 1;
  const changeId = randomUUID();
  const wallMs = opts.timer.wallMs();
  const delta = {
    ...{ revision, author, wallMs, changeId },
    ...diffRules({
      before: shardsBefore.value.flatMap(({ rules }) => rules),
      after: changedShards.flatMap(({ rules }) => rules),
    }),
  };
  const written = await writeShards({
    store,
    puts: changedShards.map(({ index, digest, text }) => ({
      key: createShardKey({ revision, index, digest }),
      value: text,
    })),
  });
  return written.map((puts) => ({
    base,
    puts,
    head: {
      ...{ revision, author, wallMs, changeId },
      shards: replaceReferences({ base: base.head, changedShards, revision }),
      retiredKeys: replacedShards.map(({ key }) => key),
      // The revisions before a merged one have two deltas each, and nodes may have either.
      deltas: trimDeltas(mergedRevision > 0 ? [delta] : [...base.head.deltas, delta]),
    },
  }));
}

function replaceReferences(opts: {
  readonly base: ConfigurationHead;
  readonly changedShards: readonly Shard[];
  readonly revision: number;
}): readonly ShardReference[] {
  const { base, changedShards, revision } = opts;
  const references = new Map(base.shards.map((shard) => [shard.index, shard]));
  changedShards.forEach(({ index, digest }) => {
    references.set(index, { index, key: createShardKey({ revision, index, digest }) });
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
    return readAndFailWithConflict(opts);
  }
  if (swap.isErr && swap.error.codeName !== 'store-ambiguous') {
    return fail(swap.error);
  }
  return findOutcome(opts, change);
}

async function readAndFailWithConflict(
  opts: PublishConfigurationOptions,
): Promise<Result<PublishResult, PublishFailure>> {
  const read = await readHead(opts.store);
  if (read.isOk) {
    return failWithConflict(opts, read.value.head);
  }
  const detail = 'another change was accepted, but it could not be read from the store';
  return fail(GalenatillerError.create({ name: 'revision-conflict', detail }));
}

/** Determines from the head and its deltas whether this change became the next revision. */
async function findOutcome(
  opts: PublishConfigurationOptions,
  change: Change,
): Promise<Result<PublishResult, PublishFailure>> {
  const { revision, changeId } = change.head;
  for (let reads = 0; reads < MAX_OUTCOME_READS; reads += 1) {
    const read = await readHead(opts.store);
    const next = read
      .map(({ head }) => [head, ...head.deltas].find((view) => view.revision === revision))
      .unwrapOr(undefined);
    if (next?.changeId === changeId) {
      return Result.ok({ kind: 'published', revision });
    }
    if (read.isOk && next) {
      return failWithConflict(opts, read.value.head);
    }
    await opts.timer.sleep({ delayMs: OUTCOME_READ_DELAY_MS });
  }
  const detail = `revision ${revision} may have been accepted; check the status`;
  return fail(GalenatillerError.create({ name: 'store-ambiguous', detail }));
}

function createShardTooLargeError({ index, text }: Shard): GalenatillerError {
  return GalenatillerError.create({
    name: 'rules-invalid',
    detail: `shard ${index} has ${Buffer.byteLength(text)} bytes; the maximum is ${MAX_SHARD_BYTES}`,
  });
}

function failWithConflict(
  opts: PublishConfigurationOptions,
  head: ConfigurationHead,
): Result<PublishResult, PublishFailure> {
  const error = GalenatillerError.create({
    name: 'revision-conflict',
    detail: `the active revision is ${head.revision} by ${head.author}, not ${opts.baseRevision}`,
  });
  const concurrentChanges = head.deltas.filter((delta) => delta.revision > opts.baseRevision);
  return Result.err({ error, concurrentChanges });
}

function fail(error: GalenatillerError): Result<PublishResult, PublishFailure> {
  return Result.err({ error, concurrentChanges: [] });
}
