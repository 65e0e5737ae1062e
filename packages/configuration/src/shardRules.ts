import { createHash } from 'node:crypto';

import type { Rule } from '@galenatiller/types';
import xxhash from 'xxhash-wasm';

import type { RuleName } from './headTypes.js';
import { getRuleKey, getRuleName } from './getRuleName.js';
import { encodeShard } from './wire.js';

/** Number of shards; 36,000 rules of 100 bytes result in shards of 56 KB. */
export const SHARD_COUNT = 64;

/** The rules of one shard in key order, and their encoding. */
export interface Shard {
  readonly index: number;
  readonly rules: readonly Rule[];
  readonly text: string;
  /** Hex digest of the text. */
  readonly digest: string;
}

/** Returns the index of the shard that contains a rule. */
export type ShardHash = (name: RuleName) => number;

const DIGEST_CHARS = 24;

const hasherPromise = xxhash();

/** Loads the hash that assigns rules to shards; it is the same on every node. */
export async function loadShardHash(): Promise<ShardHash> {
  const { h32 } = await hasherPromise;
  return (name) => h32(getRuleKey(name)) % SHARD_COUNT;
}

/** Distributes rules over shards; of two rules with the same kind and name, the later one wins. */
export function shardRules(rules: readonly Rule[], getShardIndex: ShardHash): readonly Shard[] {
  const shards = Array.from({ length: SHARD_COUNT }, () => new Map<string, Rule>());
  rules.forEach((rule) => {
    const name = getRuleName(rule);
    shards[getShardIndex(name)]?.set(getRuleKey(name), rule);
  });
  return shards.map((rulesByKey, index) => createShard(index, [...rulesByKey.values()]));
}

/** Sorts and encodes the rules of one shard. */
export function createShard(index: number, rules: readonly Rule[]): Shard {
  const ordered = rules
    .map((rule) => ({ rule, key: getRuleKey(getRuleName(rule)) }))
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({ rule }) => rule);
  const text = encodeShard(ordered);
  const digest = createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARS);
  return { index, rules: ordered, text, digest };
}
