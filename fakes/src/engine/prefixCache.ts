import { PREFIX_BLOCK_CHARS } from '@galenatiller/constants';
import createXxhash from 'xxhash-wasm';

const { create64 } = await createXxhash();

/** Number of hex digits of a 64-bit hash. */
const HASH_DIGITS = 16;

/** A change of the prefixes in the cache of an engine. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly hashes: readonly string[];
}

/** Options of {@link PrefixCache.create}. */
export interface PrefixCacheOptions {
  readonly maxBlocks: number;
  readonly onChange: (change: CacheChange) => void;
}

/** LRU cache of prompt prefixes, in blocks. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private constructor(private readonly opts: PrefixCacheOptions) {}

  /** Creates an empty cache. */
  static create(opts: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(opts);
  }

  /** Share of the cache in use. */
  get usedShare(): number {
    return this.blocks.size / this.opts.maxBlocks;
  }

  /** Empties the cache without an event, as a restart does. */
  clear(): void {
    this.blocks.clear();
  }

  /** Stores the prefixes of a prompt; returns the number of blocks that were not in the cache. */
  addPrompt(prompt: string): number {
    const hashes = hashPrefixes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.blocks.has(hash));
    const stored = firstMissing < 0 ? [] : hashes.slice(firstMissing);
    hashes.forEach((hash) => {
      this.blocks.delete(hash);
      this.blocks.add(hash);
    });
    this.notify({ kind: 'stored', hashes: stored });
    this.evict();
    return stored.length;
  }

  private evict(): void {
    const surplus = Math.max(0, this.blocks.size - this.opts.maxBlocks);
    const hashes = [...this.blocks].slice(0, surplus);
    hashes.forEach((hash) => {
      this.blocks.delete(hash);
    });
    this.notify({ kind: 'evicted', hashes });
  }

  private notify(change: CacheChange): void {
    if (change.hashes.length > 0) {
      this.opts.onChange(change);
    }
  }
}

/** Hashes the prefixes of a prompt that consist of whole blocks. */
function hashPrefixes(prompt: string): readonly string[] {
  const hasher = create64();
  return Array.from({ length: Math.floor(prompt.length / PREFIX_BLOCK_CHARS) }, (_, block) => {
    const start = block * PREFIX_BLOCK_CHARS;
    hasher.update(prompt.slice(start, start + PREFIX_BLOCK_CHARS));
    return hasher.digest().toString(16).padStart(HASH_DIGITS, '0');
  });
}
