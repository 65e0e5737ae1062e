/** Encodes frames between routers as CBOR. */
import { FrameSplitter, addLengthPrefix } from '@galenatiller/framing';
import type { PieceFailure, PieceResult } from '@galenatiller/types';
import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';

import type { RouterFrame } from './routerFrames.js';

/** An order with the handles of a whole stage is under 4 KB; anything near this is not a frame. */
const MAX_FRAME_BYTES = 1_048_576;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

type Fields = Readonly<Record<string, unknown>>;

const PIECE_FAILURES: readonly PieceFailure[] = [
  'late',
  'input-gone',
  'no-room',
  'failed',
  'unreachable',
  'busy',
];

/** Encodes one frame with its length. */
export function encodeRouterFrame(frame: RouterFrame): Buffer {
  return addLengthPrefix(codec.encode(frame));
}

/** Decodes the frames of a byte stream. */
export class RouterFrameDecoder {
  private readonly cutter = FrameSplitter.create({ maxBytes: MAX_FRAME_BYTES });

  private constructor() {}

  /** Makes a reader at the start of a stream. */
  static create(): RouterFrameDecoder {
    return new RouterFrameDecoder();
  }

  /** Takes bytes and gives the complete frames; the error says why the stream is lost. */
  push(bytes: Buffer): Result<readonly RouterFrame[], string> {
    const bodies = this.cutter.push(bytes);
    if (bodies.isErr) {
      return Result.err(`a frame of ${bodies.error.bytes} bytes`);
    }
    const frames: RouterFrame[] = [];
    for (const body of bodies.value) {
      const frame = decode(body);
      if (!frame) {
        return Result.err('a frame of unknown shape');
      }
      frames.push(frame);
    }
    return Result.ok(frames);
  }
}

function decode(body: Buffer): RouterFrame | undefined {
  try {
    const value: unknown = codec.decode(body);
    return typeof value === 'object' && value !== null ? check(value as Fields) : undefined;
  } catch {
    // Bytes that are no CBOR are reported like a frame of unknown shape.
    return undefined;
  }
}

/** Whether the fields of a frame are of the right types, by its kind. */
const CHECKS: Readonly<Record<RouterFrame['kind'], (fields: Fields) => boolean>> = {
  hello: (fields) => areTexts(fields, ['nodeName']) && areNumbers(fields, ['linkVersion']),
  'piece-order': isOrder,
  'piece-cancel': (fields) => areNumbers(fields, ['orderId']),
  'piece-end': (fields) => areNumbers(fields, ['orderId']) && isResult(fields.result),
  free: (fields) => isTextList(fields.handles),
  ping: () => true,
  pong: () => true,
};

function check(fields: Fields): RouterFrame | undefined {
  const { kind } = fields;
  const isKnown = typeof kind === 'string' && Object.hasOwn(CHECKS, kind);
  return isKnown && CHECKS[kind as RouterFrame['kind']](fields)
    ? (fields as unknown as RouterFrame)
    : undefined;
}

function isOrder(fields: Fields): boolean {
  const numbers = [
    'orderId',
    'stage',
    'piece',
    'resultBytes',
    'priority',
    'deadlineInMs',
    'dueInMs',
    'zoneWaitInMs',
    'inputsExpireInMs',
  ];
  return (
    areNumbers(fields, numbers) &&
    areTexts(fields, ['service', 'requestId', 'key', 'zoneHint']) &&
    isTextList(fields.inputs)
  );
}

function isResult(value: unknown): value is PieceResult {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const fields = value as Fields;
  return fields.kind === 'made'
    ? typeof fields.handle === 'string'
    : fields.kind === 'failed' && PIECE_FAILURES.includes(fields.reason as PieceFailure);
}

function areNumbers(fields: Fields, names: readonly string[]): boolean {
  return names.every((name) => typeof fields[name] === 'number');
}

function areTexts(fields: Fields, names: readonly string[]): boolean {
  return names.every((name) => typeof fields[name] === 'string');
}

function isTextList(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}
