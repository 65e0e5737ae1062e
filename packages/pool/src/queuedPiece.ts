import type { StagePiece } from '@galenatiller/types';

/** A piece in the queue of its service. */
export interface QueuedPiece {
  readonly piece: StagePiece;
  readonly queuedSinceMs: number;
  /** Number of failed batch calls that the piece was part of. */
  readonly attempts: number;
}

/** Comparator of queued pieces: negative when `left` is taken first. */
export type ComparePieces = (opts: {
  readonly left: QueuedPiece;
  readonly right: QueuedPiece;
  readonly nowMs: number;
}) => number;
