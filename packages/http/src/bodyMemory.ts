import { FREE_RESPONSE_BYTES, MAX_RESPONSE_MEMORY_BYTES } from '@galenatiller/constants';

/** Options of {@link BodyMemory.create}. */
export interface BodyMemoryOptions {
  /** Maximum size of all bodies together that are being read, without what each may always have. */
  readonly limitBytes: number;
  /** Size that each body may have, however many are being read. */
  readonly freeBytes: number;
}

/** Memory for bodies that are being read as a whole, shared by all of them. */
export class BodyMemory {
  private usedBytes = 0;

  private constructor(private readonly opts: BodyMemoryOptions) {}

  /** Creates a memory of which nothing is used. */
  static create(opts: BodyMemoryOptions): BodyMemory {
    return new BodyMemory(opts);
  }

  /** Whether a body may grow by so many bytes; they are in use until {@link release}. */
  tryGrow(body: { readonly fromBytes: number; readonly toBytes: number }): boolean {
    const growthBytes = this.countShared(body.toBytes) - this.countShared(body.fromBytes);
    if (this.usedBytes + growthBytes > this.opts.limitBytes) {
      return false;
    }
    this.usedBytes += growthBytes;
    return true;
  }

  /** Releases what a body of this size uses. */
  release(bytes: number): void {
    this.usedBytes -= this.countShared(bytes);
  }

  private countShared(bytes: number): number {
    return Math.max(0, bytes - this.opts.freeBytes);
  }
}

/** Memory for responses that are read as a whole; the default is for a process of usual size. */
export function createResponseMemory(limitBytes = MAX_RESPONSE_MEMORY_BYTES): BodyMemory {
  return BodyMemory.create({
    limitBytes: Math.min(limitBytes, MAX_RESPONSE_MEMORY_BYTES),
    freeBytes: FREE_RESPONSE_BYTES,
  });
}
