/** Chunks that a body may have however small they are. */
const FREE_CHUNKS = 2_048;

/** Chunks after which a body is paused, if its chunks are small. */
const CHUNKS_PER_TURN = 2_048;

/** Average size under which the chunks of a body are small. */
const SMALL_AVERAGE_BYTES = 64;

/** Most chunks of a body: a body of the largest default size in chunks of 64 bytes has as many. */
const MAX_CHUNKS = 65_536;

/** The chunks of one body. */
export interface ChunkCount {
  readonly chunks: number;
  readonly bodyBytes: number;
}

/** Whether a body has so many chunks that it is not read further beside other bodies like it. */
export function hasTooManyChunks({ chunks, bodyBytes }: ChunkCount): boolean {
  return chunks > MAX_CHUNKS && bodyBytes < chunks * SMALL_AVERAGE_BYTES;
}

/** Lets bodies in very small chunks, each of which is an event, be read in turn. */
export class ChunkPacer {
  private readonly waiting = new Set<() => void>();

  /** Bodies in small chunks that are being read. */
  private readonly bodies = new Set<object>();

  private constructor() {}

  /** Creates a pacer. */
  static create(): ChunkPacer {
    return new ChunkPacer();
  }

  /** Whether several bodies in very small chunks are being read; a single one is read whole. */
  get isContended(): boolean {
    return this.bodies.size > 1;
  }

  /** Whether a body must pause; `resume` is called when its turn comes. */
  mustPause(body: object, count: ChunkCount & { readonly sincePause: number }): boolean {
    const { chunks, bodyBytes, sincePause } = count;
    if (chunks <= FREE_CHUNKS || bodyBytes >= chunks * SMALL_AVERAGE_BYTES) {
      return false;
    }
    this.bodies.add(body);
    return this.isContended && sincePause >= CHUNKS_PER_TURN;
  }

  /** Queues a paused body for its turn. */
  queue(resume: () => void): void {
    this.waiting.add(resume);
  }

  /** Forgets a body that has ended. */
  remove(body: object, resume: () => void): void {
    this.bodies.delete(body);
    this.waiting.delete(resume);
  }

  /** Gives the next body its turn. */
  resumeNext(): void {
    const [next] = this.waiting;
    if (next) {
      this.waiting.delete(next);
      next();
    }
  }
}
