import { PREFIX_BLOCK_CHARS } from '@galenatiller/constants';

import { hashPrefixes } from './xxhash.js';

/** Computes the hashes of the prefixes of a prompt that end at a block boundary, shortest first. */
export function computePrefixHashes(prompt: string): readonly string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARS);
  const parts = Array.from({ length: blocks }, (_, block) =>
    prompt.slice(block * PREFIX_BLOCK_CHARS, (block + 1) * PREFIX_BLOCK_CHARS),
  );
  return hashPrefixes(parts);
}
