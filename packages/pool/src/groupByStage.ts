import type { QueuedPiece } from './queuedPiece.js';

/** Groups pieces by request and stage, in the order of the first piece of each. */
export function groupByStage<Piece extends QueuedPiece>(
  ordered: readonly Piece[],
): readonly (readonly Piece[])[] {
  const groups = new Map<string, Piece[]>();
  ordered.forEach((queued) => {
    const group = groups.get(queued.groupKey);
    if (group) {
      group.push(queued);
    } else {
      groups.set(queued.groupKey, [queued]);
    }
  });
  return [...groups.values()];
}
