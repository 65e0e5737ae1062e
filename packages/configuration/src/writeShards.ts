import { GalenatillerError } from '@galenatiller/error';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import { Result } from 'true-myth';

import { shardKey } from './configurationKeys.js';
import type { Shard } from './shardRules.js';

/** Options of {@link writeShards}. */
export interface WriteShardsOptions {
  readonly store: StoreClient;
  /** The revision that the shards are for. */
  readonly revision: number;
  readonly shards: readonly Shard[];
}

/** Most bytes of shards in one swap. */
const MAX_SWAP_BYTES = 700_000;

/**
 * Writes shards ahead of the head and gives the last ones back, for the swap of the head itself: a
 * small change is one write. Shards written for a revision that loses the race are never read.
 */
export async function writeShards(
  opts: WriteShardsOptions,
): Promise<Result<readonly KeyWrite[], GalenatillerError>> {
  const batches = split(opts);
  const last = batches.pop() ?? [];
  for (const batch of batches) {
    const written = await writeBatch(opts.store, batch);
    if (written.isErr) {
      return Result.err(written.error);
    }
  }
  return Result.ok(last);
}

function split(opts: WriteShardsOptions): KeyWrite[][] {
  const batches: KeyWrite[][] = [];
  let bytes = Infinity;
  opts.shards.forEach(({ index, digest, text }) => {
    const size = Buffer.byteLength(text);
    if (bytes + size > MAX_SWAP_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    bytes += size;
    const key = shardKey({ revision: opts.revision, index, digest });
    batches[batches.length - 1]?.push({ key, value: text });
  });
  return batches;
}

async function writeBatch(
  store: StoreClient,
  batch: readonly KeyWrite[],
): Promise<Result<void, GalenatillerError>> {
  const swap = await store.compareAndSwap({
    expected: batch.map(({ key }) => ({ key, modRevision: 0 })),
    puts: batch,
  });
  if (swap.isErr) {
    return Result.err(notPublished(swap.error));
  }
  if (swap.value.kind === 'swapped') {
    return Result.ok(undefined);
  }
  // A key holds the digest of its value: what is there already needs no other write.
  const present = new Set(swap.value.current.map(({ key }) => key));
  const missing = batch.filter(({ key }) => !present.has(key));
  return missing.length === 0 ? Result.ok(undefined) : writeBatch(store, missing);
}

/** Shards without a head are never read, so a write that may have happened changes nothing. */
function notPublished(error: GalenatillerError): GalenatillerError {
  const { detail, retryAfterMs } = error;
  return GalenatillerError.create({ name: 'store-unavailable', detail, retryAfterMs });
}
