import type { StagePiece } from '@galenatiller/types';

/** A piece that waits in the queue of its service. */
export interface QueuedPiece {
  readonly piece: StagePiece;
  readonly queuedSinceMs: number;
  /** Calls that it has been part of. */
  readonly attempts: number;
}

/** Order in which waiting pieces are taken: negative when `left` goes first. */
export type ComparePieces = (opts: {
  readonly left: QueuedPiece;
  readonly right: QueuedPiece;
  readonly nowMs: number;
}) => number;
