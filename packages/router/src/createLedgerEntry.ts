import { decodeLedger, encodeLedger, type LedgerEntry } from '@galenatiller/provider';
import type { PrefixSource, WriteIfUnchanged } from '@galenatiller/store';

/** One entry holds the decisions on all usage reports, so that each of them is one conditional write. */
const LEDGER_KEY = 'galenatiller/usage';

/** Creates the entry of the store that holds the ledger of usage reports. */
export function createLedgerEntry(opts: {
  /** The store itself: what another router has read may be older. */
  readonly source: Pick<PrefixSource, 'readPage'>;
  readonly writeIfUnchanged: WriteIfUnchanged;
}): LedgerEntry {
  return {
    read: async ({ signal }) => {
      const page = await opts.source.readPage({
        prefix: LEDGER_KEY,
        afterKey: '',
        seenRevision: 0,
        signal,
      });
      return page
        .map(({ entries }) => {
          const entry = entries.find(({ key }) => key === LEDGER_KEY);
          return entry
            ? {
                ledger: decodeLedger(entry.value) ?? ('unusable' as const),
                revision: entry.revision,
              }
            : { ledger: undefined, revision: 0 };
        })
        .mapErr(({ kind, detail }) => `${kind}: ${detail}`);
    },
    write: async ({ ledger, expectedRevision, signal }) => {
      const write = await opts.writeIfUnchanged({
        key: LEDGER_KEY,
        value: encodeLedger(ledger),
        expectedRevision,
        signal,
      });
      return write.unwrapOr('unknown');
    },
  };
}
