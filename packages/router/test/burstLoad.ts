/** The load of a deployment with three stage services, and the former order of pieces. */
import type { OrderPieces, QueuedPiece } from '@galenatiller/pool';
import type { BatchLimits } from '@galenatiller/types';

import { type BurstClass, type BurstOptions, createBurstRoute } from './burstTypes.js';

const RESULT_TTL_MS = 4_000;

function createLimits(maxPieces: number, pieceMs: number): BatchLimits {
  const resultMemoryBytes = 1_000_000;
  const resultTtlMs = RESULT_TTL_MS;
  return { maxPieces, callOverheadMs: 200, pieceMs, resultMemoryBytes, resultTtlMs };
}

export const SERVICES: BurstOptions['services'] = new Map([
  ['image', { workers: 18, limits: createLimits(8, 20) }],
  ['search', { workers: 11, limits: createLimits(24, 7) }],
  ['text', { workers: 16, limits: createLimits(32, 5) }],
]);

const CHAIN = [
  { service: 'text', dependsOn: [], resultBytes: 1 },
  { service: 'search', dependsOn: [0], resultBytes: 1 },
  { service: 'text', dependsOn: [1], resultBytes: 1 },
];
const IMAGE = { service: 'image', dependsOn: [], resultBytes: 1 };

export const CLASSES: readonly BurstClass[] = [
  {
    name: 'A',
    callsPerSecond: 75,
    meanPieces: [2.5],
    route: createBurstRoute({
      priority: 0,
      latencyObjectiveMs: 1_000,
      firstByteTimeoutMs: 6_000,
      stages: [IMAGE],
    }),
  },
  {
    name: 'B',
    callsPerSecond: 55,
    meanPieces: [1, 6, 10],
    route: createBurstRoute({
      priority: 1,
      latencyObjectiveMs: 2_000,
      firstByteTimeoutMs: 6_000,
      stages: CHAIN,
    }),
  },
  {
    name: 'C',
    callsPerSecond: 12,
    meanPieces: [1, 6, 10, 2.5],
    route: createBurstRoute({
      priority: 2,
      latencyObjectiveMs: 4_000,
      firstByteTimeoutMs: 8_000,
      stages: [...CHAIN, IMAGE],
    }),
  },
];

/** The order of earlier versions: by priority, then by the due time of the whole call. */
export const orderByDueTime: OrderPieces = ({ pieces, nowMs }) => {
  const isLate = ({ piece }: QueuedPiece): number => Number(piece.dueAtMs < nowMs);
  const ordered = pieces.toSorted(
    (left, right) =>
      isLate(left) - isLate(right) ||
      left.piece.priority - right.piece.priority ||
      left.piece.dueAtMs - right.piece.dueAtMs ||
      left.piece.piece - right.piece.piece,
  );
  return { ordered, onTimeCount: ordered.length };
};
