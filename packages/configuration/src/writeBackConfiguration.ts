import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import { Result } from 'true-myth';

import type { ActiveConfiguration } from './activeConfiguration.js';
import { HEAD_KEY } from './configurationKeys.js';
import type { ConfigurationHead, StoredHead } from './headTypes.js';
import { readHead } from './readHead.js';
import { createShard } from './shardRules.js';
import { encodeHead } from './wire.js';
import { writeShards } from './writeShards.js';

/** Options of {@link writeBackConfiguration}. */
export interface WriteBackConfigurationOptions {
  readonly store: StoreClient;
  readonly active: ActiveConfiguration;
}

const log = createLogger('configuration');

/**
 * Writes the active revision to a store that was restored from a copy older than it, unless another
 * revision was published on the copy in the meantime. Returns the store revision to follow from.
 */
export async function writeBackConfiguration({
  store,
  active,
}: WriteBackConfigurationOptions): Promise<Result<number, GalenatillerError>> {
  const read = await readHead(store);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const { storeRevision } = read.value;
  const head = active.publishedHead();
  if (!head || read.value.head.revision >= head.revision) {
    return Result.ok(storeRevision);
  }
  if (!isEarlierRevision(read.value.head, head)) {
    log({
      message: `Kept revision ${head.revision}: the store has another revision ${read.value.head.revision}, by ${read.value.head.author}, published after it was restored. Publish the rules again.`,
    });
    return Result.ok(storeRevision);
  }
  return swapHead(store, { active, head, stored: read.value });
}

/** Whether a head is one that led to the later one; a head whose delta was trimmed counts as one. */
function isEarlierRevision(earlier: ConfigurationHead, later: ConfigurationHead): boolean {
  const known = later.deltas.find(({ revision }) => revision === earlier.revision);
  return known === undefined || known.changeId === earlier.changeId;
}

interface SwapHeadOptions {
  readonly active: ActiveConfiguration;
  readonly head: ConfigurationHead;
  readonly stored: StoredHead;
}

async function swapHead(
  store: StoreClient,
  { active, head, stored }: SwapHeadOptions,
): Promise<Result<number, GalenatillerError>> {
  const storedKeys = new Set(stored.head.shards.map(({ key }) => key));
  const missing = head.shards.filter(({ key }) => !storedKeys.has(key));
  const puts = missing.flatMap((reference): readonly KeyWrite[] => {
    const shard = active.findShard(reference);
    return shard ? [{ key: shard.key, value: createShard(shard.index, shard.rules).text }] : [];
  });
  const lastPuts = await writeShards({ store, puts });
  if (lastPuts.isErr) {
    return Result.err(lastPuts.error);
  }
  const swap = await store.compareAndSwap({
    expected: [{ key: HEAD_KEY, modRevision: stored.modRevision }],
    puts: [...lastPuts.value, { key: HEAD_KEY, value: encodeHead(head) }],
  });
  if (swap.isErr) {
    return Result.err(swap.error);
  }
  if (swap.value.kind !== 'swapped') {
    // Another node has written it, or an operator another one: the head is read again.
    return Result.ok(stored.storeRevision);
  }
  log({
    message: `Wrote revision ${head.revision} back to the store, which had revision ${stored.head.revision}.`,
  });
  return Result.ok(swap.value.revision);
}
