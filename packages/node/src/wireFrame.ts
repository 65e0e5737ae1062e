/** Encodes frames: four bytes of length, big-endian, then one CBOR value. */
import { MAX_FRAME_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import { FrameSplitter, addLengthPrefix } from '@galenatiller/framing';
import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';

import type { NodeFrame } from './frames.js';
import { nodeFrameSchema } from './wireSchema.js';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one frame; fails with `frame-too-large`. */
export function encodeFrame(frame: NodeFrame): Result<Buffer, GalenatillerError> {
  const body = codec.encode(frame);
  if (body.length > MAX_FRAME_BYTES) {
    return Result.err(tooLarge(body.length));
  }
  return Result.ok(addLengthPrefix(body));
}

/** Cuts a byte stream into frames; holds at most one incomplete frame. */
export class FrameDecoder {
  private readonly cutter = FrameSplitter.create({ maxBytes: MAX_FRAME_BYTES });

  private constructor() {}

  /** Makes a decoder at the start of a stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** Bytes held back until the frame is complete. */
  get bufferedBytes(): number {
    return this.cutter.bufferedBytes;
  }

  /** Takes bytes and returns the complete frames; after an error the stream is lost. */
  push(bytes: Buffer): Result<readonly NodeFrame[], GalenatillerError> {
    const bodies = this.cutter.push(bytes);
    if (bodies.isErr) {
      return Result.err(tooLarge(bodies.error.bytes));
    }
    const frames: NodeFrame[] = [];
    for (const body of bodies.value) {
      const frame = decodeBody(body);
      if (frame.isErr) {
        return Result.err(frame.error);
      }
      frames.push(frame.value);
    }
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
