import type { GalenatillerError } from '@galenatiller/error';
import type { Rule, RuleKind } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** Identifies a rule: no two active rules have the same kind and name. */
export interface RuleName {
  readonly kind: RuleKind;
  readonly name: string;
}

/** The changes made by one accepted revision. */
export interface RevisionDelta {
  readonly revision: number;
  readonly author: string;
  readonly wallMs: number;
  /** Unique to the change; identifies it if the response to its publication is lost. */
  readonly changeId: string;
  readonly changed: readonly Rule[];
  readonly removed: readonly RuleName[];
}

/** Index and store key of one shard; the value of a key never changes. */
export interface ShardReference {
  readonly index: number;
  readonly key: string;
}

/**
 * Describes one revision: its shards and the most recent deltas, consecutive up to the revision.
 */
export interface RevisionManifest {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
  readonly deltas: readonly RevisionDelta[];
}

/** The stored value that determines which revision is active. */
export interface ConfigurationHead extends RevisionManifest {
  readonly author: string;
  readonly wallMs: number;
  /** The change id of this revision, whose delta may be too large to be included. */
  readonly changeId: string;
  /** Shards that this revision replaced; kept until the next revision for concurrent readers. */
  readonly retiredKeys: readonly string[];
}

/** A shard with its rules. */
export interface LoadedShard extends ShardReference {
  readonly rules: readonly Rule[];
}

/** Reads shards from the store or from another node. */
export type ShardReader = (
  shards: readonly ShardReference[],
) => Promise<Result<readonly LoadedShard[], GalenatillerError>>;

/** A head and the revision of its key in the store. */
export interface StoredHead {
  readonly head: ConfigurationHead;
  /** 0 while no configuration has been published. */
  readonly modRevision: number;
  /** Store revision at the time of reading. */
  readonly storeRevision: number;
}
