import type { QueuedPiece } from './queuedPiece.js';

/** Groups pieces by request and stage, in the order of the first piece of each. */
export function groupByStage<Piece extends QueuedPiece>(
  ordered: readonly Piece[],
): readonly (readonly Piece[])[] {
  const groups = new Map<string, Piece[]>();
  ordered.forEach((queued) => {
    const key = `${queued.piece.requestId} ${queued.piece.stage}`;
    const group = groups.get(key);
    if (group) {
      group.push(queued);
    } else {
      groups.set(key, [queued]);
    }
  });
  return [...groups.values()];
}
