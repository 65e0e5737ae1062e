import type { BodyMemory } from './bodyMemory.js';

/** Options of {@link readAll}. */
export interface ReadAllOptions {
  readonly body: AsyncIterable<Uint8Array>;
  /** A longer body is not read to its end. */
  readonly maxBytes: number;
  /** Memory that the body shares with others while it is being read; unlimited by default. */
  readonly memory?: BodyMemory;
}

/**
 * Reads a whole body. Throws when it is interrupted, too long or finds no memory; leaving the loop closes
 * its connection.
 */
export async function readAll(opts: ReadAllOptions): Promise<Buffer> {
  const { memory, maxBytes } = opts;
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of opts.body) {
      const toBytes = bytes + chunk.length;
      if (toBytes > maxBytes) {
        throw new Error(`the body has over ${maxBytes} bytes`);
      }
      if (memory?.tryGrow({ fromBytes: bytes, toBytes }) === false) {
        throw new Error('the bodies that are being read leave no memory for this one');
      }
      bytes = toBytes;
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  } finally {
    memory?.release(bytes);
  }
}
