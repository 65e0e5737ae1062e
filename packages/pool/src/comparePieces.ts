import type { ComparePieces, WaitingPiece } from './stageQueue.js';

/** A late call goes on waiting behind others until this much of its time is left. */
const IN_DANGER_MS = 2_500;

/** Inputs are kept for seconds after they were made; a piece that waits longer loses them. */
const INPUTS_AGE_MS = 1_500;

/**
 * Pieces whose inputs are about to expire go first: without them the stages before are done again.
 * Then come pieces whose call can still be on time, by priority and by when the call is due. A late
 * call waits behind them, but not until its deadline: a late answer is better than none.
 */
export const comparePieces: ComparePieces = ({ left, right, nowMs }) =>
  rank(left, nowMs) - rank(right, nowMs) ||
  left.piece.priority - right.piece.priority ||
  left.piece.dueAtMs - right.piece.dueAtMs ||
  left.piece.piece - right.piece.piece;

function rank(waiting: WaitingPiece, nowMs: number): number {
  return waiting.piece.dueAtMs < nowMs ? 1 : 0;
}
