import { orderWork, type SchedulableWork } from '@galenatiller/scheduling';

import { groupByStage } from './groupByStage.js';
import type { OrderPieces, QueuedPiece } from './queuedPiece.js';

interface PieceGroup<Piece> extends SchedulableWork {
  readonly pieces: readonly Piece[];
}

/**
 * Orders pieces by the order of the scheduling package, where the work is all queued pieces of a stage
 * of a request: they are only useful together.
 */
export const orderPieces: OrderPieces = ({ pieces, nowMs, throughput, usage }) => {
  const { piecesPerMs, pausedMs } = throughput;
  const { onTime, delayed } = orderWork({
    works: groupByStage(pieces).flatMap((group) => toWork(group, piecesPerMs)),
    startsAtMs: nowMs + pausedMs,
    getUsedMs: (holder) => usage.getUsedMs({ holder, nowMs }),
  });
  const inTime = onTime.flatMap((group) => group.pieces);
  const rest = delayed.flatMap((group) => group.pieces);
  return { ordered: [...inTime, ...rest], onTimeCount: inTime.length };
};

function toWork<Piece extends QueuedPiece>(
  pieces: readonly Piece[],
  piecesPerMs: number,
): readonly PieceGroup<Piece>[] {
  const [first] = pieces;
  if (!first) {
    return [];
  }
  const { piece } = first;
  const { urgency } = piece;
  const work: PieceGroup<Piece> = {
    priority: piece.priority,
    hasBegun: urgency?.hasBegun ?? piece.inputs.length > 0,
    organisation: urgency?.organisation ?? '',
    latestStartAtMs: urgency?.latestStartAtMs ?? piece.dueAtMs,
    // Without usable workers it is not known how long anything takes, so that nothing is delayed.
    costMs: piecesPerMs === 0 ? 0 : pieces.length / piecesPerMs,
    remainingMs: urgency?.remainingMs ?? pieces.length,
    isSizeExempt: first.isSizeExempt,
    pieces,
  };
  return [work];
}
