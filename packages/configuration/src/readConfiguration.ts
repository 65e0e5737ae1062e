import type { GalenatillerError } from '@galenatiller/error';
import type { StoreClient } from '@galenatiller/store';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { readHead } from './readHead.js';
import { createShardReader } from './createShardReader.js';

/** The newest accepted rules and the author of the last change; revision 0 if there are none. */
export interface AcceptedRules {
  readonly revision: number;
  readonly author: string;
  readonly rules: readonly Rule[];
}

/** A read is repeated if another author replaces a shard during the read. */
const MAX_READS = 3;

/** Reads the newest accepted rules in the order of their shards. */
export async function readConfiguration(
  store: StoreClient,
): Promise<Result<AcceptedRules, GalenatillerError>> {
  let result = await readOnce(store);
  for (let reads = 1; result.isErr && reads < MAX_READS; reads += 1) {
    result = await readOnce(store);
  }
  return result;
}

async function readOnce(store: StoreClient): Promise<Result<AcceptedRules, GalenatillerError>> {
  const headResult = await readHead(store);
  if (headResult.isErr) {
    return Result.err(headResult.error);
  }
  const { revision, author, shards } = headResult.value.head;
  const shardsResult = await createShardReader(store)(shards);
  return shardsResult.map((loadedShards) => ({
    revision,
    author,
    rules: loadedShards.flatMap(({ rules }) => rules),
  }));
}
