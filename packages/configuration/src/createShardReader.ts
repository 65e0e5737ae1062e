import { GalenatillerError } from '@galenatiller/error';
import type { StoreClient, StoreEntry } from '@galenatiller/store';
import { Result } from 'true-myth';

import { SHARD_PREFIX } from './configurationKeys.js';
import type { LoadedShard, ShardReader, ShardReference } from './headTypes.js';
import { decodeShard } from './wire.js';

/** Above this number, reading all shards page by page takes fewer calls than one read per shard. */
const MAX_SINGLE_READS = 6;

/** Creates a reader of shards from the store; it fails if a shard no longer exists. */
export function createShardReader(store: StoreClient): ShardReader {
  return async (shards) => {
    const entries = await (shards.length > MAX_SINGLE_READS
      ? readAll(store)
      : readEach(store, shards));
    return entries.andThen((storedEntries) => decodeShards(shards, storedEntries));
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

function decodeShards(
  shards: readonly ShardReference[],
  entries: readonly StoreEntry[],
): Result<readonly LoadedShard[], GalenatillerError> {
  const texts = new Map(entries.map((entry) => [entry.key, entry.value]));
  const loaded: LoadedShard[] = [];
  for (const shard of shards) {
    const text = texts.get(shard.key);
    if (text === undefined) {
      return Result.err(createShardReplacedError(shard.key));
    }
    const rules = decodeShard(text);
    if (rules.isErr) {
      return Result.err(rules.error);
    }
    loaded.push({ ...shard, rules: rules.value });
  }
  return Result.ok(loaded);
}

function createShardReplacedError(key: string): GalenatillerError {
  return GalenatillerError.create({
    name: 'store-unavailable',
    detail: `${key} has been replaced by a newer revision`,
  });
}
