import { FREE_RESPONSE_BYTES } from '@galenatiller/constants';

import type { BodyMemory } from './bodyMemory.js';

/** Options of {@link readAll}. */
export interface ReadAllOptions<Part extends Uint8Array = Uint8Array> {
  readonly body: AsyncIterable<Part>;
  /** A longer body is not read to its end. */
  readonly maxBytes: number;
  /** Memory that the body shares with others while it is being read; unlimited by default. */
  readonly memory?: BodyMemory;
  /** Awaited once, before more is read of a body that exceeds what each may always have. */
  readonly mayExceed?: () => Promise<void>;
}

/** Reads a whole body; throws like {@link readParts}. */
export async function readAll(opts: ReadAllOptions): Promise<Buffer> {
  return Buffer.concat(await readParts(opts));
}

/**
 * Reads a whole body, and leaves it in the parts in which it came: joining them would take their memory
 * twice. Throws when the body is interrupted, too long or finds no memory; leaving the loop closes its
 * connection.
 */
export async function readParts<Part extends Uint8Array>(
  opts: ReadAllOptions<Part>,
): Promise<readonly Part[]> {
  const { memory, maxBytes } = opts;
  const chunks: Part[] = [];
  let bytes = 0;
  let { mayExceed } = opts;
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
      if (mayExceed && bytes > FREE_RESPONSE_BYTES) {
        await mayExceed();
        mayExceed = undefined;
      }
    }
    return chunks;
  } finally {
    memory?.release(bytes);
  }
}
