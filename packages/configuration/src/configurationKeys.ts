/** Keys of the configuration in the store. */

/** Prefix of the keys that nodes watch. */
export const WATCHED_PREFIX = 'galenatiller/watched/';

/** The head. */
export const HEAD_KEY = `${WATCHED_PREFIX}head`;

/** Prefix of the shards. */
export const SHARD_PREFIX = 'galenatiller/shards/';

/** What a shard's key says about it. */
export interface ShardKeyParts {
  /** The revision that the shard was written for. */
  readonly revision: number;
  readonly digest: string;
}

/** The key of a shard; the digest keeps two texts from sharing a key. */
export function shardKey(opts: ShardKeyParts & { readonly index: number }): string {
  return `${SHARD_PREFIX}${opts.revision}-${opts.index}-${opts.digest}`;
}

/** Reads a shard's key. */
export function parseShardKey(key: string): ShardKeyParts {
  const [revision = '', , digest = ''] = key.slice(SHARD_PREFIX.length).split('-');
  return { revision: Number(revision), digest };
}
