/** Options of {@link readAll}. */
export interface ReadAllOptions {
  readonly body: AsyncIterable<Uint8Array>;
  /** A longer body is not read to its end. */
  readonly maxBytes: number;
}

/**
 * Reads a whole body. Throws when it is interrupted or too long; leaving the loop closes its
 * connection.
 */
export async function readAll(opts: ReadAllOptions): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of opts.body) {
    bytes += chunk.length;
    if (bytes > opts.maxBytes) {
      throw new Error(`the body has over ${opts.maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
