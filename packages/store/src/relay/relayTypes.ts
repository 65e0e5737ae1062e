import type { PrefixChange, PrefixEntry, RelayedEvidence } from '../prefixSource.js';

/** Asks another node for what it has read under a prefix. */
export interface RelayRequest {
  readonly prefix: string;
  /** Revision after which changes are wanted; undefined for all entries. */
  readonly afterRevision: number | undefined;
  /** How long the node may wait for its next read if there is no change yet. */
  readonly waitMs: number;
}

/** Response of a node that reads the store. `unavailable`: it has no recent read of its own. */
export type RelayResponse =
  | ({
      readonly kind: 'entries';
      readonly entries: readonly PrefixEntry[];
      readonly storeRevision: number;
      /** Era of the store in which everything was read; 0 if the store states none. */
      readonly era: number;
    } & RelayedEvidence)
  | ({
      readonly kind: 'changes';
      readonly changes: readonly PrefixChange[];
      readonly storeRevision: number;
      readonly era: number;
    } & RelayedEvidence)
  | { readonly kind: 'unavailable'; readonly detail: string };
