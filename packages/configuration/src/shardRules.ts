import { createHash } from 'node:crypto';

import type { Rule } from '@galenatiller/types';
import xxhash from 'xxhash-wasm';

import type { RuleName } from './headTypes.js';
import { ruleKey, ruleName } from './ruleName.js';
import { encodeShard } from './wire.js';

/** Number of shards; 36,000 rules of 100 bytes make shards of 56 KB. */
export const SHARD_COUNT = 64;

/** The rules of one shard by their key, and their encoding. */
export interface Shard {
  readonly index: number;
  readonly rules: readonly Rule[];
  readonly text: string;
  /** Hex digest of the text. */
  readonly digest: string;
}

/** Tells the shard of a rule. */
export type ShardHash = (name: RuleName) => number;

const DIGEST_CHARS = 24;

const hasher = xxhash();

/** Loads the hash that spreads rules over shards; every node has the same. */
export async function loadShardHash(): Promise<ShardHash> {
  const { h32 } = await hasher;
  return (name) => h32(ruleKey(name)) % SHARD_COUNT;
}

/** Spreads rules over shards; of two rules with one name the later stands. */
export function shardRules(rules: readonly Rule[], shardOf: ShardHash): readonly Shard[] {
  const shards = Array.from({ length: SHARD_COUNT }, () => new Map<string, Rule>());
  rules.forEach((rule) => {
    const name = ruleName(rule);
    shards[shardOf(name)]?.set(ruleKey(name), rule);
  });
  return shards.map((byKey, index) => makeShard(index, [...byKey.values()]));
}

/** Orders and encodes the rules of one shard. */
export function makeShard(index: number, rules: readonly Rule[]): Shard {
  const ordered = rules
    .map((rule) => ({ rule, key: ruleKey(ruleName(rule)) }))
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({ rule }) => rule);
  const text = encodeShard(ordered);
  const digest = createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARS);
  return { index, rules: ordered, text, digest };
}
