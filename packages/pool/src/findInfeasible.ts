import { groupByStage } from './groupByStage.js';
import type { QueuedPiece } from './queuedPiece.js';
import type { StageThroughput } from './stageThroughput.js';

/** Pieces of one stage of one request that can't finish before their deadline. */
export interface InfeasibleGroup<Piece> {
  readonly pieces: readonly Piece[];
  /** Estimated time until the last of them finishes. */
  readonly neededMs: number;
  /** Time until the earliest deadline among them. */
  readonly leftMs: number;
}

/** Options of {@link findInfeasible}. */
export interface FindInfeasibleOptions<Piece> {
  /** Queued pieces, in the order in which they are taken. */
  readonly ordered: readonly Piece[];
  readonly nowMs: number;
  readonly throughput: StageThroughput;
}

/**
 * Finds groups of pieces that can't meet their deadline at the present throughput. An infeasible
 * group doesn't count as work ahead of later groups.
 */
export function findInfeasible<Piece extends QueuedPiece>(
  opts: FindInfeasibleOptions<Piece>,
): readonly InfeasibleGroup<Piece>[] {
  const { nowMs, throughput } = opts;
  if (throughput.piecesPerMs === 0 && throughput.pausedMs === 0) {
    return [];
  }
  const infeasible: InfeasibleGroup<Piece>[] = [];
  let piecesAhead = 0;
  groupByStage(opts.ordered).forEach((pieces) => {
    const piecesBeforeLast = piecesAhead + pieces.length - 1;
    const neededMs =
      throughput.pausedMs +
      (throughput.piecesPerMs === 0 ? 0 : piecesBeforeLast / throughput.piecesPerMs) +
      throughput.callMs;
    const leftMs = Math.min(...pieces.map(({ piece }) => piece.deadlineAtMs)) - nowMs;
    if (neededMs > leftMs) {
      infeasible.push({ pieces, neededMs, leftMs });
    } else {
      piecesAhead += pieces.length;
    }
  });
  return infeasible;
}
