import { Result } from 'true-myth';

const LENGTH_BYTES = 4;

/** A frame exceeds the size limit; the rest of the stream cannot be decoded. */
export interface FrameTooLarge {
  readonly bytes: number;
  readonly maxBytes: number;
}

/** Prepends the length of the body as a four-byte big-endian integer. */
export function addLengthPrefix(body: Buffer): Buffer {
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Splits a byte stream into frame bodies; buffers at most one incomplete frame. */
export class FrameSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  private constructor(private readonly maxBytes: number) {}

  /** Creates a splitter for a new stream. */
  static create(opts: { readonly maxBytes: number }): FrameSplitter {
    return new FrameSplitter(opts.maxBytes);
  }

  /** Number of bytes buffered until the frame is complete. */
  get bufferedBytes(): number {
    return this.buffered.length;
  }

  /**
   * Adds bytes and returns the bodies of complete frames; the splitter is unusable after an error.
   */
  push(bytes: Buffer): Result<readonly Buffer[], FrameTooLarge> {
    const input = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    const bodies: Buffer[] = [];
    let offset = 0;
    while (input.length - offset >= LENGTH_BYTES) {
      const bodyBytes = input.readUInt32BE(offset);
      if (bodyBytes > this.maxBytes) {
        return Result.err({ bytes: bodyBytes, maxBytes: this.maxBytes });
      }
      const endOffset = offset + LENGTH_BYTES + bodyBytes;
      if (input.length < endOffset) {
        break;
      }
      bodies.push(input.subarray(offset + LENGTH_BYTES, endOffset));
      offset = endOffset;
    }
    this.buffered = input.subarray(offset);
    return Result.ok(bodies);
  }
}
