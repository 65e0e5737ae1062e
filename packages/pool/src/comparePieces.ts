import type { ComparePieces, WaitingPiece } from './stageQueue.js';

/** A late call goes on waiting behind others until this much of its time is left. */
const IN_DANGER_MS = 2_500;

/**
 * Pieces whose call can still be on time go first, by priority and then by when the call is due.
 * A late call waits behind them, but not until its deadline: a late answer is better than none.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  lateness(left, nowMs) - lateness(right, nowMs) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function lateness({ piece }: WaitingPiece, nowMs: number): number {
  return piece.dueAtMs < nowMs && piece.deadlineAtMs - nowMs > IN_DANGER_MS ? 1 : 0;
}
