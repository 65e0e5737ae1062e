import type { BatchLimits, ExpectedLoad, StagePiece } from '@galenatiller/types';

import type { QueuedPiece } from './queuedPiece.js';
import { expectCallMs, isStatedSlow } from './workerLoad.js';

/** A worker that may take waiting pieces. */
export interface CandidateWorker {
  readonly zone: string;
  readonly slots: number;
  readonly load: ExpectedLoad | undefined;
  /** Time until its present call ends; 0 while it is idle. */
  readonly readyInMs: number;
  /** Memory for results that it has left. */
  readonly availableBytes: () => number;
}

/** A piece that waits for a worker. */
export interface WaitingPiece extends Pick<QueuedPiece, 'queuedSinceMs'> {
  readonly piece: Pick<StagePiece, 'resultBytes'>;
  /** Zone in which the piece should run; empty when any will do. */
  readonly preferredZone: string;
}

/** Options of {@link leaveToFaster}. */
export interface LeaveToFasterOptions<Piece> {
  /** Pieces that the worker may take, in the order in which they should be taken. */
  readonly ordered: readonly Piece[];
  readonly limits: BatchLimits;
  readonly own: Pick<CandidateWorker, 'zone' | 'slots' | 'load'>;
  readonly others: readonly CandidateWorker[];
}

/** A worker is faster only if work takes longer on the other one by more than this ratio. */
const MAX_EVEN_RATIO = 1.25;

/**
 * Leaves pieces to faster workers that would end them earlier, the most urgent first, and returns the rest.
 * Each faster worker is counted with its next call only: if a slow worker waited for several calls of the
 * others, the pieces behind would wait for it.
 */
export function leaveToFaster<Piece extends WaitingPiece>(
  opts: LeaveToFasterOptions<Piece>,
): readonly Piece[] {
  const { ordered, own, limits } = opts;
  const room = findFaster(opts).map(({ zone, availableBytes }) => ({
    zone,
    pieces: limits.maxPieces,
    bytes: availableBytes(),
  }));
  if (room.length === 0) {
    return ordered;
  }
  const keepsZone = !isStatedSlow(own.load);
  return ordered.filter(({ piece, preferredZone }) => {
    // A worker elsewhere does not take a piece for which one of normal speed is idle in its zone.
    const isTied = keepsZone && preferredZone !== '' && preferredZone === own.zone;
    const faster = room.find(
      ({ zone, pieces, bytes }) =>
        pieces > 0 && bytes >= piece.resultBytes && (!isTied || zone === own.zone),
    );
    if (!faster) {
      return true;
    }
    faster.pieces -= 1;
    faster.bytes -= piece.resultBytes;
    return false;
  });
}

/** Workers that are faster, and would end a call earlier that they begin when they are free. */
function findFaster<Piece>(opts: LeaveToFasterOptions<Piece>): readonly CandidateWorker[] {
  const { limits, own } = opts;
  const pieces = Math.min(limits.maxPieces, opts.ordered.length);
  const ownDuration = own.load?.relativeDuration ?? 1;
  const ownEndMs = expectCallMs({ ...own, limits, pieces });
  return opts.others.filter((other) => {
    const { relativeDuration = 1, lastDuration = 1 } = other.load ?? {};
    // With all machines slow at once, the worker heard last must not seem slower than those whose figures have decayed.
    const duration = Math.max(relativeDuration, Math.min(lastDuration, ownDuration));
    const endMs = other.readyInMs + expectCallMs({ ...other, limits, pieces });
    return duration * MAX_EVEN_RATIO < ownDuration && endMs < ownEndMs;
  });
}
