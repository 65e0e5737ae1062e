/** Encodes frames: four bytes of length, big-endian, then one CBOR value. */
import { MAX_FRAME_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';

import type { NodeFrame } from './frames.js';
import { nodeFrameSchema } from './wireSchema.js';

const LENGTH_BYTES = 4;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one frame; fails with `frame-too-large`. */
export function encodeFrame(frame: NodeFrame): Result<Buffer, GalenatillerError> {
  const body = codec.encode(frame);
  if (body.length > MAX_FRAME_BYTES) {
    return Result.err(tooLarge(body.length));
  }
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return Result.ok(bytes);
}

/** Cuts a byte stream into frames; holds at most one incomplete frame. */
export class FrameDecoder {
  private rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Makes a decoder at the start of a stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** Bytes held back until the frame is complete. */
  get heldBytes(): number {
    return this.rest.length;
  }

  /** Takes bytes and returns the complete frames; after an error the stream is lost. */
  push(bytes: Buffer): Result<readonly NodeFrame[], GalenatillerError> {
    const held = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const frames: NodeFrame[] = [];
    let offset = 0;
    while (held.length - offset >= LENGTH_BYTES) {
      const bodyBytes = held.readUInt32BE(offset);
      if (bodyBytes > MAX_FRAME_BYTES) {
        return Result.err(tooLarge(bodyBytes));
      }
      const endOffset = offset + LENGTH_BYTES + bodyBytes;
      if (held.length < endOffset) {
        break;
      }
      const frame = decodeBody(held.subarray(offset + LENGTH_BYTES, endOffset));
      if (frame.isErr) {
        return Result.err(frame.error);
      }
      frames.push(frame.value);
      offset = endOffset;
    }
    this.rest = held.subarray(offset);
    return Result.ok(frames);
  }
}

function decodeBody(body: Buffer): Result<NodeFrame, GalenatillerError> {
  try {
    const parsed = nodeFrameSchema.safeParse(codec.decode(body));
    return parsed.success
      ? Result.ok(parsed.data as NodeFrame)
      : Result.err(invalid(parsed.error.issues[0]?.message ?? 'unknown shape'));
  } catch (error) {
    return Result.err(invalid(error instanceof Error ? error.message : 'not CBOR'));
  }
}

function tooLarge(bytes: number): GalenatillerError {
  return GalenatillerError.create({
    name: 'frame-too-large',
    detail: `frame of ${bytes} bytes, at most ${MAX_FRAME_BYTES} allowed`,
  });
}

function invalid(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'frame-invalid', detail });
}
