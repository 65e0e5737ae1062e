import { BLOCK_BYTES, type BlockPool } from './blockPool.js';

/** Memory of a buffer object, besides its bytes. */
const BUFFER_BYTES = 512;

/**
 * Collects the chunks of a body, and knows what they take in memory. Chunks are copied into blocks: the
 * buffer object of a small chunk takes several times the memory of its bytes.
 */
export class ChunkCollector {
  /** The chunk of a body that has only one; it is used as it is. */
  private only: Buffer | undefined;

  private readonly blocks: Buffer[] = [];

  private bytes = 0;

  private chunkCount = 0;

  private constructor(private readonly pool: BlockPool) {}

  /** Creates a collector without chunks. */
  static create(opts: { readonly pool: BlockPool }): ChunkCollector {
    return new ChunkCollector(opts.pool);
  }

  /** Length of the body so far. */
  get bodyBytes(): number {
    return this.bytes;
  }

  /** Number of chunks so far. */
  get chunks(): number {
    return this.chunkCount;
  }

  /** Memory in use. */
  get heldBytes(): number {
    return this.blocks.length * BLOCK_BYTES + (this.only ? this.only.length + BUFFER_BYTES : 0);
  }

  /** Adds a chunk. */
  push(chunk: Buffer): void {
    this.chunkCount += 1;
    if (this.chunkCount === 1) {
      this.bytes = chunk.length;
      this.only = chunk;
      return;
    }
    if (this.only) {
      this.bytes = 0;
      this.copy(this.only);
      this.only = undefined;
    }
    this.copy(chunk);
  }

  /** Returns the body and ends the use of the collector. */
  take(): Buffer {
    const body = this.only ?? this.join();
    this.drop();
    return body;
  }

  /** Gives back the memory of a body that is not needed. */
  drop(): void {
    this.only = undefined;
    this.pool.give(this.blocks.splice(0));
  }

  private join(): Buffer {
    return this.blocks.length === 0 ? Buffer.alloc(0) : Buffer.concat(this.blocks, this.bytes);
  }

  private copy(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.bytes % BLOCK_BYTES;
      if (offset === 0) {
        this.blocks.push(this.pool.take());
      }
      const length = Math.min(chunk.length - copied, BLOCK_BYTES - offset);
      chunk.copy(this.blocks.at(-1) as Buffer, offset, copied, copied + length);
      copied += length;
      this.bytes += length;
    }
  }
}
