import type { QueuedPiece } from './queuedPiece.js';

/** Groups pieces by request and stage, in the order of the first piece of each. */
export function groupByStage<Piece extends QueuedPiece>(
  ordered: readonly Piece[],
): readonly (readonly Piece[])[] {
  const groups = new Map<string, Piece[]>();
  ordered.forEach((one) => {
    const key = `${one.piece.requestId} ${one.piece.stage}`;
    const group = groups.get(key);
    if (group) {
      group.push(one);
    } else {
      groups.set(key, [one]);
    }
  });
  return [...groups.values()];
}
