import type { PrefixEntry } from '@galenatiller/store';
import type { TargetEntry } from '@galenatiller/target';
import type { RouterConfig } from '@galenatiller/types';

/** What an operator's entry says. `unusable`: it names nothing that this node follows, or is broken. */
export type OperatorEntry =
  | { readonly kind: 'configuration'; readonly configuration: RouterConfig }
  | { readonly kind: 'zone-out'; readonly zone: string }
  | { readonly kind: 'unusable'; readonly detail: string };

/** How an adapter reads what operators write. */
export interface OperatorEntryDecoder {
  readonly prefix: string;
  readonly decode: (entry: PrefixEntry) => OperatorEntry;
  /** The zone that a key takes out; undefined for another key. */
  readonly zoneOfKey: (key: string) => string | undefined;
}

/** How an adapter reads what targets write of themselves. */
export interface TargetEntryDecoder {
  readonly prefix: string;
  readonly decode: (entry: PrefixEntry) => TargetEntry;
  readonly idOfKey: (key: string) => string;
}
