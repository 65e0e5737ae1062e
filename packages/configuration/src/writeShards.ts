import { GalenatillerError } from '@galenatiller/error';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import { Result } from 'true-myth';

/** Options of {@link writeShards}. */
export interface WriteShardsOptions {
  readonly store: StoreClient;
  /** The key and the text of each shard. */
  readonly puts: readonly KeyWrite[];
}

/** Maximum size of the shards in one swap. */
const MAX_SWAP_BYTES = 700_000;

/**
 * Writes shards before the head and returns the last batch, to be written in the swap of the head
 * itself, so that a small change takes one write. Shards of a revision that is not accepted
 * are never read.
 */
export async function writeShards(
  opts: WriteShardsOptions,
): Promise<Result<readonly KeyWrite[], GalenatillerError>> {
  const batches = splitIntoBatches(opts.puts);
  const last = batches.pop() ?? [];
  for (const batch of batches) {
    const written = await writeBatch(opts.store, batch);
    if (written.isErr) {
      return Result.err(written.error);
    }
  }
  return Result.ok(last);
}

function splitIntoBatches(puts: readonly KeyWrite[]): KeyWrite[][] {
  const batches: KeyWrite[][] = [];
  let bytes = Infinity;
  puts.forEach((put) => {
    const size = Buffer.byteLength(put.value);
    if (bytes + size > MAX_SWAP_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    bytes += size;
    batches[batches.length - 1]?.push(put);
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
    return Result.err(toNotPublishedError(swap.error));
  }
  if (swap.value.kind === 'swapped') {
    return Result.ok(undefined);
  }
  // A key contains the digest of its value, so existing keys need not be written again.
  const existingKeys = new Set(swap.value.current.map(({ key }) => key));
  const missing = batch.filter(({ key }) => !existingKeys.has(key));
  return missing.length === 0 ? Result.ok(undefined) : writeBatch(store, missing);
}

/** Shards that no head references are never read, so an ambiguous write has no effect. */
function toNotPublishedError(error: GalenatillerError): GalenatillerError {
  const { detail, retryAfterMs } = error;
  return GalenatillerError.create({ name: 'store-unavailable', detail, retryAfterMs });
}
