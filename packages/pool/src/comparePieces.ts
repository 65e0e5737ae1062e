import type { ComparePieces, QueuedPiece } from './queuedPiece.js';

/**
 * Puts pieces whose call can still be on time first, and orders them by priority and then by due
 * time. Pieces of calls that are already late only use the capacity that is left.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function isLate({ piece }: QueuedPiece, nowMs: number): boolean {
  return piece.dueAtMs < nowMs;
}
