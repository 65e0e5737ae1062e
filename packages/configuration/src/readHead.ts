import type { GalenatillerError } from '@galenatiller/error';
import type { StoreClient } from '@galenatiller/store';
import { Result } from 'true-myth';

import { HEAD_KEY } from './configurationKeys.js';
import type { ConfigurationHead, StoredHead } from './headTypes.js';
import { decodeHead } from './wire.js';

const EMPTY_HEAD: ConfigurationHead = {
  revision: 0,
  author: '',
  wallMs: 0,
  changeId: '',
  shards: [],
  retiredKeys: [],
  deltas: [],
};

/** Reads the head; its revision is 0 if nothing has been published. */
export async function readHead(store: StoreClient): Promise<Result<StoredHead, GalenatillerError>> {
  const read = await store.read(HEAD_KEY);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const { entry, revision: storeRevision } = read.value;
  if (entry.isNothing) {
    return Result.ok({ head: EMPTY_HEAD, modRevision: 0, storeRevision });
  }
  const { value, modRevision } = entry.value;
  return decodeHead(value).map((head) => ({ head, modRevision, storeRevision }));
}
