import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import { type CallContext, callStore } from './callStore.js';
import type { PrefixRead, StoreEntry } from './storeTypes.js';
import { decodeRange, encodeRange } from './wire.js';

/** Options of {@link readPages}. */
export interface ReadPagesOptions {
  readonly context: CallContext;
  readonly prefix: string;
  readonly pageSize?: number;
  readonly keysOnly?: boolean;
}

const PAGE_SIZE = 16;

/** Appended to a key, gives the smallest key after it. */
const NEXT_KEY_SUFFIX = '\0';

/** Reads all entries under a prefix page by page; `revision` is that of the first page. */
export async function readPages(
  opts: ReadPagesOptions,
): Promise<Result<PrefixRead, GalenatillerError>> {
  const { context, prefix, pageSize = PAGE_SIZE, keysOnly = false } = opts;
  const entries: StoreEntry[] = [];
  let revision: number | undefined;
  let startKey = prefix;
  for (;;) {
    const page = await callStore({
      context,
      kind: 'range',
      body: encodeRange({ key: startKey, prefix, limit: pageSize, keysOnly }),
      decode: decodeRange,
    });
    if (page.isErr) {
      return Result.err(page.error.error);
    }
    revision ??= page.value.revision;
    entries.push(...page.value.entries);
    const lastEntry = entries[entries.length - 1];
    if (!page.value.more || !lastEntry) {
      return Result.ok({ entries, revision });
    }
    startKey = lastEntry.key + NEXT_KEY_SUFFIX;
  }
}
