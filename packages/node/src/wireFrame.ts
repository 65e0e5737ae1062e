/** Encodes and decodes frames: a four-byte big-endian length, then one CBOR value. */
import { MAX_FRAME_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import { FrameSplitter, addLengthPrefix } from '@galenatiller/framing';
import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';

import type { NodeFrame } from './frames.js';
import { nodeFrameSchema } from './wireSchema.js';

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one frame; fails with `frame-too-large` above the size limit. */
export function encodeFrame(frame: NodeFrame): Result<Buffer, GalenatillerError> {
  const body = codec.encode(frame);
  if (body.length > MAX_FRAME_BYTES) {
    return Result.err(createTooLargeError(body.length));
  }
  return Result.ok(addLengthPrefix(body));
}

/** Decodes a byte stream into frames; buffers at most one incomplete frame. */
export class FrameDecoder {
  private readonly splitter = FrameSplitter.create({ maxBytes: MAX_FRAME_BYTES });

  private constructor() {}

  /** Creates a decoder for a new stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** Number of bytes buffered until the frame is complete. */
  get bufferedBytes(): number {
    return this.splitter.bufferedBytes;
  }

  /** Adds bytes and returns the complete frames; the decoder is unusable after an error. */
  push(bytes: Buffer): Result<readonly NodeFrame[], GalenatillerError> {
    const bodies = this.splitter.push(bytes);
    if (bodies.isErr) {
      return Result.err(createTooLargeError(bodies.error.bytes));
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
      : Result.err(createInvalidError(parsed.error.issues[0]?.message ?? 'unknown frame format'));
  } catch (error) {
    return Result.err(createInvalidError(error instanceof Error ? error.message : 'not CBOR'));
  }
}

function createTooLargeError(bytes: number): GalenatillerError {
  return GalenatillerError.create({
    name: 'frame-too-large',
    detail: `frame of ${bytes} bytes exceeds the maximum of ${MAX_FRAME_BYTES}`,
  });
}

function createInvalidError(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'frame-invalid', detail });
}
