import { PREFIX_BLOCK_CHARS } from '@galenatiller/constants';
import createXxhash from 'xxhash-wasm';

const { create64 } = await createXxhash();

/** Digits of a 64-bit hash in hex. */
const HASH_DIGITS = 16;

/** A change of the prefixes that an engine holds. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly hashes: readonly string[];
}

/** Options of {@link PrefixCache.create}. */
export interface PrefixCacheOptions {
  readonly maxBlocks: number;
  readonly onChange: (change: CacheChange) => void;
}

/** Prompt prefixes in limited memory; the least recently used block goes first. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private constructor(private readonly opts: PrefixCacheOptions) {}

  /** Makes an empty memory. */
  static create(opts: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(opts);
  }

  /** Share of the memory in use. */
  get usedShare(): number {
    return this.blocks.size / this.opts.maxBlocks;
  }

  /** Forgets all, as a restart does. */
  clear(): void {
    this.blocks.clear();
  }

  /** Stores the prefixes of a prompt; returns how many blocks it had to compute. */
  addPrompt(prompt: string): number {
    const hashes = hashPrefixes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.blocks.has(hash));
    const stored = firstMissing < 0 ? [] : hashes.slice(firstMissing);
    hashes.forEach((hash) => {
      this.blocks.delete(hash);
      this.blocks.add(hash);
    });
    this.tell({ kind: 'stored', hashes: stored });
    this.evict();
    return stored.length;
  }

  private evict(): void {
    const surplus = Math.max(0, this.blocks.size - this.opts.maxBlocks);
    const hashes = [...this.blocks].slice(0, surplus);
    hashes.forEach((hash) => {
      this.blocks.delete(hash);
    });
    this.tell({ kind: 'evicted', hashes });
  }

  private tell(change: CacheChange): void {
    if (change.hashes.length > 0) {
      this.opts.onChange(change);
    }
  }
}

/** Hashes of the prefixes of a prompt that end at a block's end. */
function hashPrefixes(prompt: string): readonly string[] {
  const hasher = create64();
  return Array.from({ length: Math.floor(prompt.length / PREFIX_BLOCK_CHARS) }, (_, block) => {
    const start = block * PREFIX_BLOCK_CHARS;
    hasher.update(prompt.slice(start, start + PREFIX_BLOCK_CHARS));
    return hasher.digest().toString(16).padStart(HASH_DIGITS, '0');
  });
}
