import { GalenatillerError } from '@galenatiller/error';
import type { StoreClient, StoreEntry } from '@galenatiller/store';
import { Result } from 'true-myth';

import { SHARD_PREFIX } from './configurationKeys.js';
import type { LoadedShard, ShardReader, ShardReference } from './headTypes.js';
import { decodeShard } from './wire.js';

/** Up to this number shards are read one by one; above it pages of all shards take fewer calls. */
const MAX_SINGLE_READS = 6;

/** Makes a reader of shards from the store; a shard that is gone is an error. */
export function createShardReader(store: StoreClient): ShardReader {
  return async (shards) => {
    const entries = await (shards.length > MAX_SINGLE_READS
      ? readAll(store)
      : readEach(store, shards));
    return entries.andThen((found) => pick(shards, found));
  };
}

async function readAll(
  store: StoreClient,
): Promise<Result<readonly StoreEntry[], GalenatillerError>> {
  const read = await store.readPrefix({ prefix: SHARD_PREFIX });
  return read.map(({ entries }) => entries);
}

async function readEach(
  store: StoreClient,
  shards: readonly ShardReference[],
): Promise<Result<readonly StoreEntry[], GalenatillerError>> {
  const entries: StoreEntry[] = [];
  for (const { key } of shards) {
    const read = await store.read(key);
    if (read.isErr) {
      return Result.err(read.error);
    }
    if (read.value.entry.isJust) {
      entries.push(read.value.entry.value);
    }
  }
  return Result.ok(entries);
}

function pick(
  shards: readonly ShardReference[],
  entries: readonly StoreEntry[],
): Result<readonly LoadedShard[], GalenatillerError> {
  const texts = new Map(entries.map((entry) => [entry.key, entry.value]));
  const loaded: LoadedShard[] = [];
  for (const shard of shards) {
    const text = texts.get(shard.key);
    if (text === undefined) {
      return Result.err(shardGone(shard.key));
    }
    const rules = decodeShard(text);
    if (rules.isErr) {
      return Result.err(rules.error);
    }
    loaded.push({ ...shard, rules: rules.value });
  }
  return Result.ok(loaded);
}

function shardGone(key: string): GalenatillerError {
  return GalenatillerError.create({
    name: 'store-unavailable',
    detail: `${key} has been replaced by a newer revision`,
  });
}
