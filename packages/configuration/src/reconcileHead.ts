import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { KeyWrite, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { ActiveConfiguration } from './activeConfiguration.js';
import { applyDeltas } from './applyDeltas.js';
import { compareHeads, listBranchDeltas } from './compareHeads.js';
import { HEAD_KEY } from './configurationKeys.js';
import type { ConfigurationHead, StoredHead } from './headTypes.js';
import { publishConfiguration } from './publishConfiguration.js';
import { createShard } from './shardRules.js';
import { encodeHead } from './wire.js';
import { writeShards } from './writeShards.js';

/** Options of {@link reconcileHead}. */
export interface ReconcileHeadOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly active: ActiveConfiguration;
  /** The head of the active revision. */
  readonly own: ConfigurationHead;
  readonly stored: StoredHead;
}

const log = createLogger('configuration');

/**
 * Brings a store that was restored from a copy older than the active revision up to date: writes
 * that revision back, or publishes it together with what was published on the copy since. Returns
 * the store revision to follow from.
 */
export function reconcileHead(
  opts: ReconcileHeadOptions,
): Promise<Result<number, GalenatillerError>> {
  const { own, stored } = opts;
  return compareHeads({ own, stored: stored.head }) === 'branched'
    ? publishMerged(opts)
    : writeBack(opts);
}

/** Publishes the active rules with the changes that were published on the copy. */
async function publishMerged(
  opts: ReconcileHeadOptions,
): Promise<Result<number, GalenatillerError>> {
  const { store, timer, active, own, stored } = opts;
  const { head, storeRevision } = stored;
  const deltas = listBranchDeltas({ own, stored: head });
  if (deltas.at(-1)?.revision !== head.revision) {
    log({
      message: `Kept revision ${own.revision}: revision ${head.revision} by ${head.author} was published on an older copy and is too large to be merged. Publish its rules again.`,
    });
    return Result.ok(storeRevision);
  }
  const rules = own.shards.flatMap((shard) => active.findShard(shard)?.rules ?? []);
  const published = await publishConfiguration({
    store,
    timer,
    author: head.author,
    baseRevision: head.revision,
    rules: applyDeltas(rules, deltas),
    mergedRevision: own.revision,
  });
  if (published.isErr && published.error.error.codeName !== 'revision-conflict') {
    return Result.err(published.error.error);
  }
  log({
    message: `Merged revision ${own.revision} with revision ${head.revision} of a restored store.`,
  });
  return Result.ok(storeRevision);
}

async function writeBack({
  store,
  active,
  own: head,
  stored,
}: ReconcileHeadOptions): Promise<Result<number, GalenatillerError>> {
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
