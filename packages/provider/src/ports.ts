import type { Result } from 'true-myth';

import type { WindowCounts } from '@galenatiller/types';

import type { UsageLedger } from './usageLedger.js';

/**
 * How a call to the provider ended. `accepted`: it was executed. `superseded`: rejected, because a higher
 * token has been seen. `limited`: not executed, because there were too many calls. `unknown`: it may have
 * been executed, or may still be.
 */
export type ProviderOutcome = 'accepted' | 'superseded' | 'limited' | 'unknown';

/** The end of a call to the provider. */
export interface ProviderResult {
  readonly outcome: ProviderOutcome;
  /** Status or error, for logs. */
  readonly detail: string;
}

/** Sends the usage of a window. */
export type ReportUsage = (opts: {
  readonly report: WindowCounts;
  readonly token: number;
  readonly signal: AbortSignal;
}) => Promise<ProviderResult>;

/** The desired number of workers of a service in a zone. */
export interface ScaleOrder {
  readonly service: string;
  readonly zone: string;
  readonly workers: number;
}

/** Sends the desired number of workers of a service in a zone. */
export type SetWorkers = (opts: {
  readonly order: ScaleOrder;
  readonly token: number;
  readonly signal: AbortSignal;
}) => Promise<ProviderResult>;

/** Calls to the provider's API; implemented by an adapter. */
export interface ProviderClient {
  readonly reportUsage: ReportUsage;
  readonly setWorkers: SetWorkers;
}

/** The stored ledger, as it was read. */
export interface LedgerRead {
  /** Undefined if there is no entry; `unusable` if its value can't be decoded. */
  readonly ledger: UsageLedger | 'unusable' | undefined;
  /** Revision of the entry; 0 if there is none. */
  readonly revision: number;
}

/**
 * How a write of the ledger ended. `changed`: not written, because the entry has another revision.
 * `unknown`: it may have been written, or may still be.
 */
export type LedgerWrite = 'written' | 'changed' | 'unknown';

/** The entry in the store that holds the ledger. */
export interface LedgerEntry {
  /** The error says why the entry could not be read. */
  readonly read: (opts: { readonly signal: AbortSignal }) => Promise<Result<LedgerRead, string>>;
  /** Writes the entry if it still has the revision; 0 if it does not exist. */
  readonly write: (opts: {
    readonly ledger: UsageLedger;
    readonly expectedRevision: number;
    readonly signal: AbortSignal;
  }) => Promise<LedgerWrite>;
}
