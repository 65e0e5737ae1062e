import { createLogger } from '@galenatiller/logger';
import type { StoreClient } from '@galenatiller/store';

import { parseShardKey, SHARD_PREFIX } from './configurationKeys.js';
import type { ConfigurationHead } from './headTypes.js';

/** Options of {@link deleteOldShards}. */
export interface DeleteOldShardsOptions {
  readonly store: StoreClient;
  /** The head that was accepted. */
  readonly head: ConfigurationHead;
}

const KEYS_PER_PAGE = 500;
const MAX_KEYS_PER_SWAP = 100;

const log = createLogger('configuration');

/**
 * Deletes shards that are no longer referenced: those written for this revision or an older one
 * that neither this head nor the previous one references. Shards of a publication in progress
 * belong to a later revision and are kept. After a failure the next publication deletes the
 * remaining shards.
 */
export async function deleteOldShards({ store, head }: DeleteOldShardsOptions): Promise<void> {
  const listed = await store.readPrefix({
    prefix: SHARD_PREFIX,
    keysOnly: true,
    pageSize: KEYS_PER_PAGE,
  });
  if (listed.isErr) {
    log({ message: `Obsolete shards could not be listed for deletion: ${listed.error.message}.` });
    return;
  }
  const referencedKeys = new Set([...head.shards.map(({ key }) => key), ...head.retiredKeys]);
  const obsolete = listed.value.entries.filter(
    ({ key }) => !referencedKeys.has(key) && parseShardKey(key).revision <= head.revision,
  );
  for (let start = 0; start < obsolete.length; start += MAX_KEYS_PER_SWAP) {
    const batch = obsolete.slice(start, start + MAX_KEYS_PER_SWAP);
    await store.compareAndSwap({
      expected: batch.map(({ key, modRevision }) => ({ key, modRevision })),
      puts: [],
      deletes: batch.map(({ key }) => key),
    });
  }
}
