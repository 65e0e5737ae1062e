import type { StagePiece } from '@galenatiller/types';

/** A piece that waits in the queue of its service. */
export interface WaitingPiece {
  readonly piece: StagePiece;
  readonly waitingSinceMs: number;
  /** Calls that it has been part of. */
  readonly tries: number;
}

/** Order in which waiting pieces are taken: negative when `left` goes first. */
export type ComparePieces = (opts: {
  readonly left: WaitingPiece;
  readonly right: WaitingPiece;
  readonly nowMs: number;
}) => number;
