/** Encodes the ledger of usage reports as JSON. */
import type { OrganisationCount, WindowCounts } from '@galenatiller/types';

import type { UsageLedger } from './usageLedger.js';

/** Encodes a ledger. */
export function encodeLedger(ledger: UsageLedger): Buffer {
  const { era, through, open } = ledger;
  const reports = open.map(({ window, counts }) => ({ window, counts }));
  return Buffer.from(JSON.stringify({ era, through, open: reports }));
}

/** Decodes a ledger; undefined if the value is not one. */
export function decodeLedger(value: Buffer): UsageLedger | undefined {
  try {
    const fields = JSON.parse(value.toString('utf8')) as Partial<UsageLedger> | null;
    const { era, through, open } = fields ?? {};
    const isValid =
      Number.isSafeInteger(era) &&
      Number.isSafeInteger(through) &&
      Array.isArray(open) &&
      open.every(isReport);
    return isValid ? (fields as UsageLedger) : undefined;
  } catch {
    // Bytes that are not JSON are no ledger.
    return undefined;
  }
}

function isReport(value: unknown): value is WindowCounts {
  const { window, counts } = (value ?? {}) as Partial<WindowCounts>;
  return Number.isSafeInteger(window) && Array.isArray(counts) && counts.every(isCount);
}

function isCount(value: unknown): value is OrganisationCount {
  return (
    Array.isArray(value) &&
    value.length === 2 &&
    typeof value[0] === 'string' &&
    Number.isSafeInteger(value[1])
  );
}
