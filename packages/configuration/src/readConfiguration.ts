import type { GalenatillerError } from '@galenatiller/error';
import type { StoreClient } from '@galenatiller/store';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { readHead } from './readHead.js';
import { createShardReader } from './createShardReader.js';

/** The newest accepted rules and who changed them last; revision 0 when there are none. */
export interface AcceptedRules {
  readonly revision: number;
  readonly author: string;
  readonly rules: readonly Rule[];
}

/** A shard that another author replaced while it was read makes the read start anew. */
const MAX_READS = 3;

/** Reads the newest accepted rules in the order of their shards. */
export async function readConfiguration(
  store: StoreClient,
): Promise<Result<AcceptedRules, GalenatillerError>> {
  let last = await readOnce(store);
  for (let reads = 1; last.isErr && reads < MAX_READS; reads += 1) {
    last = await readOnce(store);
  }
  return last;
}

async function readOnce(store: StoreClient): Promise<Result<AcceptedRules, GalenatillerError>> {
  const read = await readHead(store);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const { revision, author, shards } = read.value.head;
  const loaded = await createShardReader(store)(shards);
  return loaded.map((found) => ({
    revision,
    author,
    rules: found.flatMap(({ rules }) => rules),
  }));
}
