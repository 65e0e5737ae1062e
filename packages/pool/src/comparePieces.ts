import type { ComparePieces, WaitingPiece } from './stageQueue.js';

/**
 * Pieces whose call can still be on time go first, by priority and then by when the call is due;
 * the rest follow in the same order by their deadline.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  lateness(left, nowMs) - lateness(right, nowMs) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function lateness(waiting: WaitingPiece, nowMs: number): number {
  return waiting.piece.dueAtMs < nowMs ? 1 : 0;
}
