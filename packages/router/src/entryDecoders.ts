import type { PrefixEntry } from '@galenatiller/store';
import type { TargetEntry } from '@galenatiller/target';
import type { RolloutOrder, RolloutStatus, RouterConfig } from '@galenatiller/types';

/** A decoded operator entry. `unusable`: routers don't read its key, or its value is invalid. */
export type OperatorEntry =
  | { readonly kind: 'configuration'; readonly configuration: RouterConfig }
  | { readonly kind: 'zone-out'; readonly zone: string }
  | { readonly kind: 'rollout'; readonly order: RolloutOrder }
  | { readonly kind: 'unusable'; readonly detail: string };

/** Decodes the store entries of operators; implemented by an adapter. */
export interface OperatorEntryDecoder {
  readonly prefix: string;
  readonly decode: (entry: PrefixEntry) => OperatorEntry;
  /** Does most of the work of decoding an entry ahead, without holding up the event loop. */
  readonly prepare?: (entry: PrefixEntry) => Promise<void>;
  /** The zone that a key takes out of service; undefined for other keys. */
  readonly zoneOfKey: (key: string) => string | undefined;
}

/** Decodes the store entries that targets write about themselves; implemented by an adapter. */
export interface TargetEntryDecoder {
  readonly prefix: string;
  readonly decode: (entry: PrefixEntry) => TargetEntry;
  readonly idOfKey: (key: string) => string;
}

/** Reads and writes the store entries with the states of rollouts; implemented by an adapter. */
export interface RolloutStatusEntries {
  readonly prefix: string;
  readonly decode: (entry: PrefixEntry) => RolloutStatus | undefined;
  readonly encode: (status: RolloutStatus) => { readonly key: string; readonly value: Buffer };
}
