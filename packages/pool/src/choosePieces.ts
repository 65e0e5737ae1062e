import type { BatchLimits } from '@galenatiller/types';

import { groupByStage } from './groupByStage.js';
import type { QueuedPiece } from './queuedPiece.js';

/** Options of {@link choosePieces}. */
export interface ChoosePiecesOptions<Piece> {
  /** In the order in which they should be taken. */
  readonly ordered: readonly Piece[];
  readonly limits: BatchLimits;
  /** Bytes of results that the worker has room for. */
  readonly availableBytes: number;
}

/**
 * Fills a call with all pieces of one stage of a request at a time, so that they end together and
 * their results lie at one worker. The first ones are taken also when they do not all fit.
 */
export function choosePieces<Piece extends QueuedPiece>(
  opts: ChoosePiecesOptions<Piece>,
): readonly Piece[] {
  const chosen: Piece[] = [];
  let { availableBytes: roomBytes } = opts;
  groupByStage(opts.ordered).forEach((group) => {
    const places = opts.limits.maxPieces - chosen.length;
    const bytes = group.reduce((sum, { piece }) => sum + piece.resultBytes, 0);
    if (group.length <= places && bytes <= roomBytes) {
      chosen.push(...group);
      roomBytes -= bytes;
    }
  });
  return chosen.length > 0 ? chosen : firstThatFit(opts);
}

function firstThatFit<Piece extends QueuedPiece>(
  opts: ChoosePiecesOptions<Piece>,
): readonly Piece[] {
  let { availableBytes: roomBytes } = opts;
  return opts.ordered
    .filter(({ piece }) => {
      if (piece.resultBytes > roomBytes) {
        return false;
      }
      roomBytes -= piece.resultBytes;
      return true;
    })
    .slice(0, opts.limits.maxPieces);
}
