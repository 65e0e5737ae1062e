/** Memory of a process. */
export interface MemoryUse {
  readonly residentBytes: number;
  /** Memory of buffers, in use or not collected yet; objects grow with ordinary calls, and V8 bounds them. */
  readonly bufferBytes: number;
}

/** How garbage is collected: `young` looks at recent memory only, which takes about a millisecond. */
export type Collection = 'none' | 'young' | 'full';

/** Share of the machine's memory from which on garbage is collected early. */
const PRESSURE_SHARE = 0.65;

/** Growth of the buffers since the last full collection that is worth another one. */
const MIN_GROWTH_BYTES = 6_291_456;

/** Bytes read from callers and targets, which are garbage soon, after which the memory is looked at. */
const READ_BYTES = 2_097_152;

const BYTES_PER_MB = 1_048_576;

/**
 * Decides how garbage is collected early. Left to itself, V8 lets buffers grow by 64 MB between two
 * collections, which is more than a small machine has left.
 */
export class MemoryPressure {
  private collectedBytes = 0;

  private readBytes = 0;

  private constructor(private readonly limitBytes: number) {}

  /** Creates the decision for a machine. */
  static create(opts: { readonly memoryMb: number }): MemoryPressure {
    return new MemoryPressure(opts.memoryMb * BYTES_PER_MB * PRESSURE_SHARE);
  }

  /** Records bytes that were read; returns whether the memory must be looked at. */
  recordRead(bytes: number): boolean {
    this.readBytes += bytes;
    return this.readBytes >= READ_BYTES;
  }

  /** Whether the process takes so much of the machine that garbage is collected early. */
  isShort(residentBytes: number): boolean {
    return residentBytes >= this.limitBytes;
  }

  /** Chooses the collection to run now; `recordCollected` must follow a full one. */
  choose(use: MemoryUse): Collection {
    const hasRead = this.readBytes >= READ_BYTES;
    this.readBytes = 0;
    this.collectedBytes = Math.min(this.collectedBytes, use.bufferBytes);
    if (!this.isShort(use.residentBytes)) {
      return 'none';
    }
    if (use.bufferBytes - this.collectedBytes >= MIN_GROWTH_BYTES) {
      return 'full';
    }
    return hasRead ? 'young' : 'none';
  }

  /** Records what buffers take after a full collection. */
  recordCollected(bufferBytes: number): void {
    this.collectedBytes = bufferBytes;
  }
}
