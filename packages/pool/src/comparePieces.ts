import type { ComparePieces, QueuedPiece } from './queuedPiece.js';

/**
 * Pieces whose call can still be on time go first, by priority and by when the call is due. A call
 * that is late anyway takes what they leave.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function isLate({ piece }: QueuedPiece, nowMs: number): boolean {
  return piece.dueAtMs < nowMs;
}
