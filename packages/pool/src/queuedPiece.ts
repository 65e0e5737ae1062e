import type { OrganisationUsage } from '@galenatiller/scheduling';
import type { StagePiece } from '@galenatiller/types';

import type { StageThroughput } from './stageThroughput.js';

/** A piece in the queue of its service. */
export interface QueuedPiece {
  readonly piece: StagePiece;
  /** Equal for the pieces of a stage of a request. */
  readonly groupKey: string;
  /** Whether the request is delayed without regard to its size. */
  readonly isSizeExempt: boolean;
  readonly queuedSinceMs: number;
  /** Number of failed batch calls that the piece was part of. */
  readonly attempts: number;
}

/** Queued pieces in the order in which they should be taken. */
export interface OrderedPieces<Piece> {
  readonly ordered: readonly Piece[];
  /** How many of them, from the first on, belong to calls that are expected to be on time. */
  readonly onTimeCount: number;
}

/** Puts queued pieces in the order in which they should be taken. */
export type OrderPieces = <Piece extends QueuedPiece>(opts: {
  readonly pieces: readonly Piece[];
  readonly nowMs: number;
  readonly throughput: StageThroughput;
  /** What organisations have used of the workers lately. */
  readonly usage: OrganisationUsage;
}) => OrderedPieces<Piece>;
