import type { BatchLimits, PieceResult, RegisteredTarget } from '@galenatiller/types';

import type { PieceSuspects } from './pieceSuspects.js';
import type { ResultMemory } from './resultMemory.js';
import type { TakenPiece } from './takeOptions.js';

/** Batch calls that one piece may be part of; three lost ones use up the configured deadlines. */
const MAX_ATTEMPTS = 4;

/** Settles a piece by its result, or queues it again. */
export function settlePiece(opts: {
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  readonly resultMemory: ResultMemory;
  readonly piece: TakenPiece;
  readonly result: PieceResult;
  readonly areInputsFreed: boolean;
  readonly suspects: PieceSuspects;
}): void {
  const { piece, result, resultMemory } = opts;
  if (result.kind === 'made') {
    opts.suspects.recordMade(piece.queued.piece);
    const { resultBytes } = piece.queued.piece;
    resultMemory.add({ handle: result.handle, bytes: resultBytes, limits: opts.limits });
    if (piece.signal.aborted) {
      resultMemory.free([result.handle]);
    }
    piece.settle(result);
    return;
  }
  if (result.reason === 'no-room' || result.reason === 'failed') {
    retryOrFail({ ...opts, countsAsAttempt: result.reason === 'failed' });
    return;
  }
  piece.settle(result);
}

const INPUT_GONE: PieceResult = { kind: 'failed', reason: 'input-gone' };

/** Queues a piece again that has no result, unless it can't be run again. */
export function retryOrFail(opts: {
  readonly piece: TakenPiece;
  readonly countsAsAttempt: boolean;
  readonly areInputsFreed: boolean;
}): void {
  const { piece, countsAsAttempt } = opts;
  if (opts.areInputsFreed && piece.onBegun) {
    // A worker would only find out when the turn of the next call comes.
    piece.settle(INPUT_GONE);
    return;
  }
  if (countsAsAttempt && piece.queued.attempts + 1 >= MAX_ATTEMPTS) {
    piece.settle({ kind: 'failed', reason: 'unreachable' });
    return;
  }
  piece.requeue({ countsAsAttempt });
}
