import type { PrefixChange, PrefixEntry, RelayedEvidence } from '../prefixSource.js';

/**
 * Asks another node for what it has read under a prefix: `entries` for a page of all entries, `changes` for what
 * has changed since, `parts` for parts of large values.
 */
export type RelayRequest =
  | {
      readonly kind: 'entries';
      readonly prefix: string;
      /** Key after which the page starts; empty for the first page. */
      readonly afterKey: string;
    }
  | {
      readonly kind: 'changes';
      readonly prefix: string;
      readonly afterRevision: number;
      /** How long the node may wait for its next read if there is no change yet. */
      readonly waitMs: number;
    }
  | {
      readonly kind: 'parts';
      readonly prefix: string;
      /** Digests of the parts. */
      readonly digests: readonly string[];
    };

/** What a large value is made of. */
export interface ValueOutline {
  /** SHA-256 of the whole value. */
  readonly digest: Buffer;
  /** The digests of its parts in their order, 16 bytes each. */
  readonly parts: Buffer;
}

/** An entry whose value is large; its parts are read by themselves. */
export interface OutlinedEntry extends Omit<PrefixEntry, 'value'> {
  readonly outline: ValueOutline;
}

/** An entry as it is passed on. */
export type RelayedEntry = PrefixEntry | OutlinedEntry;

/** A change as it is passed on. */
export type RelayedChange =
  | { readonly kind: 'put'; readonly entry: RelayedEntry }
  | Extract<PrefixChange, { readonly kind: 'delete' }>;

/** What responses with entries or changes have in common. */
interface RelayedRead extends RelayedEvidence {
  readonly storeRevision: number;
  /** Era of the store in which everything was read; 0 if the store states none. */
  readonly era: number;
  /** Whether there is more than one response holds. */
  readonly hasMore: boolean;
}

/** Response of a node that reads the store. `unavailable`: it has no recent read of its own. */
export type RelayResponse =
  | ({ readonly kind: 'entries'; readonly entries: readonly RelayedEntry[] } & RelayedRead)
  | ({ readonly kind: 'changes'; readonly changes: readonly RelayedChange[] } & RelayedRead)
  | {
      readonly kind: 'parts';
      /** The first of the parts that were asked for, compressed; the others have to be asked for again. */
      readonly parts: readonly Buffer[];
    }
  | { readonly kind: 'unavailable'; readonly detail: string };
