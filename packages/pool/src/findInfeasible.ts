import { groupByStage } from './groupByStage.js';
import type { QueuedPiece } from './queuedPiece.js';

/** What the workers of a service get done. */
export interface StageThroughput {
  /** 0 when no worker may be used. */
  readonly piecesPerMs: number;
  /** Time of a full call. */
  readonly callMs: number;
}

/** Pieces of one stage of one request that can't be made in time. */
export interface InfeasibleGroup<Piece> {
  readonly pieces: readonly Piece[];
  /** Estimated time until the last of them is made. */
  readonly neededMs: number;
  /** Time until the result is of no use any more. */
  readonly leftMs: number;
}

/** Options of {@link findInfeasible}. */
export interface FindInfeasibleOptions<Piece> {
  /** Waiting pieces, in the order in which they are taken. */
  readonly ordered: readonly Piece[];
  readonly nowMs: number;
  readonly throughput: StageThroughput;
}

/** Finds what waits in vain; what is given up makes way for what comes behind it. */
export function findInfeasible<Piece extends QueuedPiece>(
  opts: FindInfeasibleOptions<Piece>,
): readonly InfeasibleGroup<Piece>[] {
  const { nowMs, throughput } = opts;
  if (throughput.piecesPerMs === 0) {
    return [];
  }
  const unreachable: InfeasibleGroup<Piece>[] = [];
  let piecesAhead = 0;
  groupByStage(opts.ordered).forEach((pieces) => {
    const behind = piecesAhead + pieces.length - 1;
    const neededMs = behind / throughput.piecesPerMs + throughput.callMs;
    const leftMs = Math.min(...pieces.map(({ piece }) => piece.deadlineAtMs)) - nowMs;
    if (neededMs > leftMs) {
      unreachable.push({ pieces, neededMs, leftMs });
    } else {
      piecesAhead += pieces.length;
    }
  });
  return unreachable;
}
