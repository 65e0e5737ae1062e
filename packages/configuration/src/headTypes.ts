import type { GalenatillerError } from '@galenatiller/error';
import type { Rule, RuleKind } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** Identifies a rule: no two rules in force share a kind and a name. */
export interface RuleName {
  readonly kind: RuleKind;
  readonly name: string;
}

/** What one accepted change did. */
export interface RevisionDelta {
  readonly revision: number;
  readonly author: string;
  readonly wallMs: number;
  /** Unique to the change; its author recognises it by this after a lost answer. */
  readonly changeId: string;
  readonly changed: readonly Rule[];
  readonly removed: readonly RuleName[];
}

/** Where one shard of a revision is stored; a key never gets another value. */
export interface ShardReference {
  readonly index: number;
  readonly key: string;
}

/** One revision: its shards and the newest deltas, which follow each other up to the revision. */
export interface RevisionManifest {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
  readonly deltas: readonly RevisionDelta[];
}

/** The one value that decides which revision is in force. */
export interface ConfigurationHead extends RevisionManifest {
  readonly author: string;
  readonly wallMs: number;
  /** That of the delta of this revision, which may be too large to be kept. */
  readonly changeId: string;
  /** Shards that this revision replaced; they stay until the next one for readers on their way. */
  readonly retiredKeys: readonly string[];
}

/** Rules of one shard. */
export interface LoadedShard extends ShardReference {
  readonly rules: readonly Rule[];
}

/** Reads shards, from the store or from another node. */
export type ShardReader = (
  shards: readonly ShardReference[],
) => Promise<Result<readonly LoadedShard[], GalenatillerError>>;

/** A head and the revision of the store's key that holds it. */
export interface StoredHead {
  readonly head: ConfigurationHead;
  /** 0 while no configuration has been published. */
  readonly modRevision: number;
  /** Revision of the store at the time of reading. */
  readonly storeRevision: number;
}
