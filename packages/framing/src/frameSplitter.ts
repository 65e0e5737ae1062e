import { Result } from 'true-myth';

const LENGTH_BYTES = 4;

/** A frame is over the limit; the stream is lost. */
export interface FrameTooLarge {
  readonly bytes: number;
  readonly maxBytes: number;
}

/** Puts the length before a body: four bytes, big-endian. */
export function addLengthPrefix(body: Buffer): Buffer {
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Cuts a byte stream into the bodies of frames; holds at most one incomplete frame. */
export class FrameSplitter {
  private rest: Buffer = Buffer.alloc(0);

  private constructor(private readonly maxBytes: number) {}

  /** Makes a cutter at the start of a stream. */
  static create(opts: { readonly maxBytes: number }): FrameSplitter {
    return new FrameSplitter(opts.maxBytes);
  }

  /** Bytes held back until the frame is complete. */
  get bufferedBytes(): number {
    return this.rest.length;
  }

  /** Takes bytes and gives the bodies of the complete frames; after an error the stream is lost. */
  push(bytes: Buffer): Result<readonly Buffer[], FrameTooLarge> {
    const held = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const bodies: Buffer[] = [];
    let offset = 0;
    while (held.length - offset >= LENGTH_BYTES) {
      const bodyBytes = held.readUInt32BE(offset);
      if (bodyBytes > this.maxBytes) {
        return Result.err({ bytes: bodyBytes, maxBytes: this.maxBytes });
      }
      const endOffset = offset + LENGTH_BYTES + bodyBytes;
      if (held.length < endOffset) {
        break;
      }
      bodies.push(held.subarray(offset + LENGTH_BYTES, endOffset));
      offset = endOffset;
    }
    this.rest = held.subarray(offset);
    return Result.ok(bodies);
  }
}
