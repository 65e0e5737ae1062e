import { Result } from 'true-myth';

import type {
  PageRead,
  PrefixEntry,
  PrefixPage,
  PrefixSource,
  ReadFailure,
  RelayedEvidence,
} from './prefixSource.js';

/** All entries under a prefix. */
export interface AllEntries {
  readonly entries: readonly PrefixEntry[];
  /** Revision of the first page; changes after it are still to be read. */
  readonly storeRevision: number;
  /** Set if another node has read the first page. */
  readonly relayed: RelayedEvidence | undefined;
}

/** Reads a page within its time limit. */
export type ReadPage = (
  page: Omit<PageRead, 'signal' | 'onProgress'>,
) => ReturnType<PrefixSource['readPage']>;

/** Reads all entries under a prefix page by page. The pages are not a snapshot. */
export async function readEntries(opts: {
  readonly prefix: string;
  readonly seenRevision: number;
  readonly readPage: ReadPage;
}): Promise<Result<AllEntries, ReadFailure>> {
  const { prefix, readPage } = opts;
  const entries: PrefixEntry[] = [];
  let first: PrefixPage | undefined;
  for (;;) {
    const page: Result<PrefixPage, ReadFailure> = await readPage({
      prefix,
      afterKey: entries.at(-1)?.key ?? '',
      // A later page that was read before the first one would lack changes that are not read again.
      seenRevision: Math.max(opts.seenRevision, first?.storeRevision ?? 0),
    });
    if (page.isErr) {
      return Result.err(page.error);
    }
    first ??= page.value;
    entries.push(...page.value.entries);
    if (!page.value.hasMore || page.value.entries.length === 0) {
      const { storeRevision, relayed } = first;
      return Result.ok({ entries, storeRevision, relayed });
    }
  }
}
