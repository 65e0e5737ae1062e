/** Encodes frames between routers as CBOR. */
import { addLengthPrefix, FrameSplitter } from '@galenatiller/framing';
import type { RelayedChange, RelayedEntry, RelayRequest, RelayResponse } from '@galenatiller/store';
import type {
  CrashEvidence,
  LeavingEvidence,
  LoadUpdate,
  PieceFailure,
  PieceResult,
  RolloutDecision,
  RolloutEvidence,
  UsageUpdate,
  VersionRuns,
} from '@galenatiller/types';
import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';

import type { RouterFrame } from './routerFrames.js';

/** An order with the handles of a whole stage is under 4 KB; a length over this is not that of a frame. */
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

/** Encodes a frame with its length prefix. */
export function encodeRouterFrame(frame: RouterFrame): Buffer {
  return addLengthPrefix(codec.encode(frame));
}

/** Decodes the frames of a byte stream. */
export class RouterFrameDecoder {
  private readonly splitter = FrameSplitter.create({ maxBytes: MAX_FRAME_BYTES });

  private constructor() {}

  /** Creates a decoder at the start of a stream. */
  static create(): RouterFrameDecoder {
    return new RouterFrameDecoder();
  }

  /** Adds bytes and returns the frames that they complete; the error says why the stream is invalid. */
  push(bytes: Buffer): Result<readonly RouterFrame[], string> {
    const bodies = this.splitter.push(bytes);
    if (bodies.isErr) {
      return Result.err(`a frame of ${bodies.error.bytes} bytes is too large`);
    }
    const frames: RouterFrame[] = [];
    for (const body of bodies.value) {
      const frame = decode(body);
      if (!frame) {
        return Result.err('a frame of unknown format');
      }
      frames.push(frame);
    }
    return Result.ok(frames);
  }
}

function decode(body: Buffer): RouterFrame | undefined {
  try {
    const value: unknown = codec.decode(body);
    return typeof value === 'object' && value !== null ? validate(value as Fields) : undefined;
  } catch {
    // Bytes that are not valid CBOR are reported like a frame of unknown format.
    return undefined;
  }
}

/** Validators of the field types of a frame, by its kind. */
const VALIDATORS: Readonly<Record<RouterFrame['kind'], (fields: Fields) => boolean>> = {
  hello: (fields) => areStrings(fields, ['nodeName']) && areNumbers(fields, ['linkVersion']),
  'piece-order': isPieceOrder,
  'piece-cancel': ({ orderIds }) =>
    Array.isArray(orderIds) && orderIds.every((orderId) => typeof orderId === 'number'),
  'pieces-begun': ({ orderIds }) =>
    Array.isArray(orderIds) && orderIds.every((orderId) => typeof orderId === 'number'),
  'piece-end': (fields) =>
    areNumbers(fields, ['orderId', 'waitMs']) &&
    isPieceResult(fields.result) &&
    (fields.waits === undefined || areWaits(fields.waits)),
  free: (fields) => isStringList(fields.handles),
  'crash-evidence': ({ evidence }) => Array.isArray(evidence) && evidence.every(isCrashEvidence),
  'leaving-evidence': ({ evidence }) =>
    Array.isArray(evidence) && evidence.every(isLeavingEvidence),
  'rollout-evidence': ({ evidence }) =>
    Array.isArray(evidence) && evidence.every(isRolloutEvidence),
  'rollout-decision': ({ decision }) => isRolloutDecision(decision),
  'usage-counts': ({ update }) => isUsageUpdate(update),
  'service-load': ({ update }) => isLoadUpdate(update),
  'read-request': (fields) => areNumbers(fields, ['requestId']) && isRelayRequest(fields.request),
  'read-response': (fields) =>
    areNumbers(fields, ['requestId']) && isRelayResponse(fields.response),
  'permit-request': (fields) =>
    areNumbers(fields, ['requestId']) && areStrings(fields, ['address', 'service']),
  'permit-response': (fields) =>
    areNumbers(fields, ['requestId']) && typeof fields.isGranted === 'boolean',
  ping: () => true,
  pong: (fields) => areNumbers(fields, ['maxPieces']),
};

function validate(fields: Fields): RouterFrame | undefined {
  const { kind } = fields;
  const isKnown = typeof kind === 'string' && Object.hasOwn(VALIDATORS, kind);
  return isKnown && VALIDATORS[kind as RouterFrame['kind']](fields)
    ? (fields as unknown as RouterFrame)
    : undefined;
}

function isPieceOrder(fields: Fields): boolean {
  const numbers = [
    'stage',
    'resultBytes',
    'priority',
    'deadlineInMs',
    'dueInMs',
    'zoneWaitInMs',
    'inputsExpireInMs',
  ];
  return (
    areNumbers(fields, numbers) &&
    areStrings(fields, ['service', 'shard', 'requestId', 'key', 'zoneHint']) &&
    isStringList(fields.inputs) &&
    (fields.reportsBegun === undefined || typeof fields.reportsBegun === 'boolean') &&
    (fields.fingerprint === undefined || typeof fields.fingerprint === 'string') &&
    (fields.urgency === undefined || isUrgency(fields.urgency)) &&
    Array.isArray(fields.pieces) &&
    fields.pieces.every((ordered) => areNumbers(asFields(ordered), ['orderId', 'piece']))
  );
}

function isUrgency(value: unknown): boolean {
  const fields = asFields(value);
  return (
    areNumbers(fields, ['latestStartInMs', 'remainingMs']) &&
    typeof fields.hasBegun === 'boolean' &&
    areStrings(fields, ['organisation'])
  );
}

function areWaits(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every((item) => areNumbers(asFields(item), ['priority', 'waitMs', 'oldestMs']))
  );
}

function isPieceResult(value: unknown): value is PieceResult {
  const fields = asFields(value);
  return fields.kind === 'made'
    ? typeof fields.handle === 'string'
    : fields.kind === 'failed' && PIECE_FAILURES.includes(fields.reason as PieceFailure);
}

function isRelayRequest(value: unknown): value is RelayRequest {
  const fields = asFields(value);
  if (!areStrings(fields, ['prefix'])) {
    return false;
  }
  switch (fields.kind) {
    case 'entries':
      return areStrings(fields, ['afterKey']);
    case 'changes':
      return areNumbers(fields, ['afterRevision', 'waitMs']);
    default:
      return fields.kind === 'parts' && isStringList(fields.digests);
  }
}

function isRelayResponse(value: unknown): value is RelayResponse {
  const fields = asFields(value);
  const { entries, changes, parts } = fields;
  if (fields.kind === 'unavailable') {
    return areStrings(fields, ['detail']);
  }
  if (fields.kind === 'parts') {
    return Array.isArray(parts) && parts.every((part) => Buffer.isBuffer(part));
  }
  return (
    areNumbers(fields, ['storeRevision', 'era', 'ageMs', 'heldMs']) &&
    typeof fields.hasMore === 'boolean' &&
    (fields.kind === 'entries'
      ? Array.isArray(entries) && entries.every(isRelayedEntry)
      : fields.kind === 'changes' && Array.isArray(changes) && changes.every(isRelayedChange))
  );
}

function isRelayedEntry(value: unknown): value is RelayedEntry {
  const fields = asFields(value);
  const outline = asFields(fields.outline);
  return (
    areStrings(fields, ['key']) &&
    areNumbers(fields, ['revision']) &&
    (Buffer.isBuffer(fields.value) ||
      [outline.digest, outline.parts].every((field) => Buffer.isBuffer(field)))
  );
}

function isRelayedChange(value: unknown): value is RelayedChange {
  const fields = asFields(value);
  return fields.kind === 'put'
    ? isRelayedEntry(fields.entry)
    : fields.kind === 'delete' && areStrings(fields, ['key']) && areNumbers(fields, ['revision']);
}

function isRolloutEvidence(value: unknown): value is RolloutEvidence {
  const fields = asFields(value);
  return (
    areStrings(fields, ['service']) &&
    (fields.route === undefined || typeof fields.route === 'string') &&
    areNumbers(fields, ['orderRevision']) &&
    [fields.newRuns, fields.oldRuns].every(isVersionRuns)
  );
}

function isVersionRuns(value: unknown): value is VersionRuns {
  const fields = asFields(value);
  return (
    areNumbers(fields, ['runs', 'failures', 'measured', 'paceSumMs']) &&
    (fields.lost === undefined || areNumbers(fields, ['lost'])) &&
    (fields.starts === undefined ||
      areNumbers(asFields(fields.starts), ['count', 'sumMs', 'squareSumMs2', 'allowanceSumMs']))
  );
}

function isRolloutDecision(value: unknown): value is RolloutDecision {
  const fields = asFields(value);
  return (
    areStrings(fields, ['service', 'targetVersion', 'detail']) &&
    areNumbers(fields, ['orderRevision']) &&
    ['running', 'completed', 'rolled-back'].includes(String(fields.state))
  );
}

function isUsageUpdate(value: unknown): value is UsageUpdate {
  const fields = asFields(value);
  return (
    areStrings(fields, ['router', 'start']) &&
    areNumbers(fields, ['closedThrough']) &&
    Array.isArray(fields.windows) &&
    fields.windows.every((item) => {
      const { window, counts } = asFields(item);
      return Number.isSafeInteger(window) && isCountList(counts);
    })
  );
}

function isLoadUpdate(value: unknown): value is LoadUpdate {
  const fields = asFields(value);
  return (
    areStrings(fields, ['router']) &&
    isCountList(fields.waiting) &&
    Array.isArray(fields.zones) &&
    fields.zones.every((item) => {
      const load = asFields(item);
      return areStrings(load, ['service', 'zone']) && areNumbers(load, ['inFlight']);
    })
  );
}

/** Whether a value is a list of names with numbers. */
function isCountList(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(
      (item) => Array.isArray(item) && typeof item[0] === 'string' && Number.isSafeInteger(item[1]),
    )
  );
}

function asFields(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function isCrashEvidence(value: unknown): value is CrashEvidence {
  const fields = asFields(value);
  return (
    (fields.kind === 'crashed' || fields.kind === 'sound') &&
    areStrings(fields, ['fingerprint', 'targetStart']) &&
    areNumbers(fields, ['agoMs'])
  );
}

function isLeavingEvidence(value: unknown): value is LeavingEvidence {
  const fields = asFields(value);
  return areStrings(fields, ['targetId', 'targetStart']) && areNumbers(fields, ['agoMs']);
}

function areNumbers(fields: Fields, names: readonly string[]): boolean {
  return names.every((name) => typeof fields[name] === 'number');
}

function areStrings(fields: Fields, names: readonly string[]): boolean {
  return names.every((name) => typeof fields[name] === 'string');
}

function isStringList(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}
