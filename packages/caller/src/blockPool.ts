/** Size of a block. */
export const BLOCK_BYTES = 16_384;

/**
 * Blocks of memory for bodies that are being read, which are used again: garbage of this size would stay
 * until the next full collection, which may be 64 MB later.
 */
export class BlockPool {
  private readonly free: Buffer[] = [];

  private constructor(private readonly maxFree: number) {}

  /** Creates a pool that keeps at most so many bytes. */
  static create(opts: { readonly maxBytes: number }): BlockPool {
    return new BlockPool(Math.floor(opts.maxBytes / BLOCK_BYTES));
  }

  /** Number of blocks that wait for their use. */
  get freeBlocks(): number {
    return this.free.length;
  }

  /** Takes a block; what it contains is undefined. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Gives back blocks to which nothing refers any more. */
  give(blocks: readonly Buffer[]): void {
    this.free.push(...blocks.slice(0, Math.max(0, this.maxFree - this.free.length)));
  }
}
