import type { BatchLimits } from '@galenatiller/types';

import { groupByStage } from './groupByStage.js';
import type { QueuedPiece } from './queuedPiece.js';

/** Options of {@link choosePieces}. */
export interface ChoosePiecesOptions<Piece> {
  /** Queued pieces, in the order in which they should be taken. */
  readonly ordered: readonly Piece[];
  readonly limits: BatchLimits;
  /** Memory for results that the worker has left. */
  readonly availableBytes: number;
}

/**
 * Fills a batch call with pieces, adding all pieces of one stage of a request at a time, so that
 * they finish together and their results are kept by one worker. If no such group fits, takes as
 * many single pieces as fit.
 */
export function choosePieces<Piece extends QueuedPiece>(
  opts: ChoosePiecesOptions<Piece>,
): readonly Piece[] {
  const chosen: Piece[] = [];
  let { availableBytes: remainingBytes } = opts;
  groupByStage(opts.ordered).forEach((group) => {
    const freeSlots = opts.limits.maxPieces - chosen.length;
    const bytes = group.reduce((sum, { piece }) => sum + piece.resultBytes, 0);
    if (group.length <= freeSlots && bytes <= remainingBytes) {
      chosen.push(...group);
      remainingBytes -= bytes;
    }
  });
  return chosen.length > 0 ? chosen : takeFirstThatFit(opts);
}

function takeFirstThatFit<Piece extends QueuedPiece>(
  opts: ChoosePiecesOptions<Piece>,
): readonly Piece[] {
  let { availableBytes: remainingBytes } = opts;
  return opts.ordered
    .filter(({ piece }) => {
      if (piece.resultBytes > remainingBytes) {
        return false;
      }
      remainingBytes -= piece.resultBytes;
      return true;
    })
    .slice(0, opts.limits.maxPieces);
}
