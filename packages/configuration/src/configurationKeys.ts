/** Builds and parses the keys of the configuration in the store. */

/** Prefix of the keys that nodes watch. */
export const WATCHED_PREFIX = 'galenatiller/watched/';

/** Key of the head. */
export const HEAD_KEY = `${WATCHED_PREFIX}head`;

/** Prefix of the keys of shards. */
export const SHARD_PREFIX = 'galenatiller/shards/';

/** The parts of a shard's key that {@link parseShardKey} returns. */
export interface ShardKeyParts {
  /** The revision for which the shard was written. */
  readonly revision: number;
  readonly digest: string;
}

/** The key of a shard; it contains the digest, so that different contents never share a key. */
export function createShardKey(opts: ShardKeyParts & { readonly index: number }): string {
  return `${SHARD_PREFIX}${opts.revision}-${opts.index}-${opts.digest}`;
}

/** Parses the key of a shard. */
export function parseShardKey(key: string): ShardKeyParts {
  const [revision = '', , digest = ''] = key.slice(SHARD_PREFIX.length).split('-');
  return { revision: Number(revision), digest };
}
