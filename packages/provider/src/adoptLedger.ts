import type { WindowCounts } from '@galenatiller/types';

import type { LedgerRead } from './ports.js';
import { haveSameCounts, type UsageLedger } from './usageLedger.js';

/** Options of {@link adoptLedger}. */
export interface AdoptLedgerOptions {
  readonly read: LedgerRead;
  /** Reports that this router knows to be fixed, by window; it may have sent them. */
  readonly fixed: ReadonlyMap<number, WindowCounts>;
  /** Windows whose report this router knows to be accepted. */
  readonly accepted: ReadonlySet<number>;
  /** The highest era of the store that is known. */
  readonly era: number;
  /** The window in which this router has started, the first to report if none has been decided. */
  readonly firstWindow: number;
  /** The last window that may have been fixed before the store was restored. */
  readonly maybeFixedThrough: number;
}

/** The ledger from which a holder goes on, and the windows that it leaves out for good. */
export interface AdoptedLedger {
  readonly ledger: UsageLedger;
  readonly leftOut: readonly { readonly window: number; readonly detail: string }[];
}

/** Windows that are left out one by one; a longer row is only of interest as a whole. */
const MAX_LEFT_OUT = 24;

/**
 * Decides from which ledger a holder goes on after reading the stored one. A ledger that was written in an
 * earlier era comes from a copy of the store: other counts may have been fixed and sent since it was taken.
 * Then only what this router itself knows to be fixed is sent, and no window is fixed anew that may have
 * been fixed before.
 */
export function adoptLedger(opts: AdoptLedgerOptions): AdoptedLedger {
  const { read, fixed, accepted, era, maybeFixedThrough } = opts;
  const stored = read.ledger === 'unusable' ? undefined : read.ledger;
  // No entry may also mean that the copy was taken before the first one was written.
  const isTrusted = stored !== undefined && stored.era >= era;
  const decidedThrough = Math.max(stored?.through ?? opts.firstWindow - 1, ...fixed.keys());
  const through = isTrusted ? decidedThrough : Math.max(decidedThrough, maybeFixedThrough);
  const storedOpen = stored?.open ?? [];
  const conflicting = storedOpen.filter((report) => {
    const known = fixed.get(report.window);
    return isTrusted && known !== undefined && !haveSameCounts(known, report);
  });
  const unproved = isTrusted ? [] : storedOpen.filter(({ window }) => !fixed.has(window));
  const dropped = new Set([...conflicting, ...unproved].map(({ window }) => window));
  // The store is newer than what this router knows, except for windows that it lacks.
  const own = [...fixed.values()].filter(
    ({ window }) => !isTrusted || window > (stored?.through ?? -Infinity),
  );
  const reports = new Map([...storedOpen, ...own].map((report) => [report.window, report]));
  const open = [...reports.values()]
    .filter(({ window }) => !accepted.has(window) && !dropped.has(window))
    .sort((left, right) => left.window - right.window);
  return {
    ledger: { era: stored?.era ?? era, through, open },
    leftOut: [
      ...listBetween(decidedThrough, through).map((window) => ({
        window,
        detail: 'may have been fixed before the store was restored',
      })),
      ...unproved.map(({ window }) => ({
        window,
        detail: 'known only from an older copy of the store',
      })),
      ...conflicting.map(({ window }) => ({ window, detail: 'fixed twice with different counts' })),
    ],
  };
}

function listBetween(after: number, through: number): readonly number[] {
  const count = Math.min(MAX_LEFT_OUT, through - after);
  return Array.from({ length: count }, (_, position) => through - count + 1 + position);
}
