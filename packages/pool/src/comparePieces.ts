import type { ComparePieces, WaitingPiece } from './stageQueue.js';

/** Inputs are kept for seconds after they were made; a piece that waits longer loses them. */
const INPUTS_AGE_MS = 1_500;

/**
 * Pieces whose inputs are about to expire go first: without them the stages before are done again.
 * Then come pieces whose call can still be on time, by priority and by when the piece is due. A call
 * that is late anyway takes what they leave.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  rank(left, nowMs) - rank(right, nowMs) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function rank(waiting: WaitingPiece, nowMs: number): number {
  const { piece, waitingSinceMs } = waiting;
  if (piece.inputs.length > 0 && nowMs - waitingSinceMs > INPUTS_AGE_MS) {
    return 0;
  }
  return piece.dueAtMs < nowMs ? 2 : 1;
}
