import { createLogger } from '@galenatiller/logger';
import type { StoreClient } from '@galenatiller/store';

import { parseShardKey, SHARD_PREFIX } from './configurationKeys.js';
import type { ConfigurationHead } from './headTypes.js';

/** Options of {@link deleteOldShards}. */
export interface DeleteOldShardsOptions {
  readonly store: StoreClient;
  /** A head that was accepted. */
  readonly head: ConfigurationHead;
}

const KEYS_PER_PAGE = 500;
const KEYS_PER_SWAP = 100;

const log = createLogger('configuration');

/**
 * Deletes shards that no head can name any more: those written for this revision or an older one
 * that neither this head nor the one before names. A change that is still on its way writes shards
 * for a later revision, so they are never touched. What fails is done by the next change.
 */
export async function deleteOldShards({ store, head }: DeleteOldShardsOptions): Promise<void> {
  const listed = await store.readPrefix({
    prefix: SHARD_PREFIX,
    keysOnly: true,
    pageSize: KEYS_PER_PAGE,
  });
  if (listed.isErr) {
    log({ message: `Old shards stay for now: ${listed.error.message}.` });
    return;
  }
  const named = new Set([...head.shards.map(({ key }) => key), ...head.retiredKeys]);
  const old = listed.value.entries.filter(
    ({ key }) => !named.has(key) && parseShardKey(key).revision <= head.revision,
  );
  for (let start = 0; start < old.length; start += KEYS_PER_SWAP) {
    const batch = old.slice(start, start + KEYS_PER_SWAP);
    await store.compareAndSwap({
      expected: batch.map(({ key, modRevision }) => ({ key, modRevision })),
      puts: [],
      deletes: batch.map(({ key }) => key),
    });
  }
}
