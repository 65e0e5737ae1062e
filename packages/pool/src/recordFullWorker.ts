import type { BatchLimits, PieceResult, RegisteredTarget } from '@galenatiller/types';

import type { ResultMemory } from './resultMemory.js';
import type { TakenPiece } from './takeOptions.js';

/** Records the smallest result for which the worker had no memory beside those made by the same call. */
export function recordFullWorker(opts: {
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  readonly resultMemory: Pick<ResultMemory, 'recordFull'>;
  readonly taken: readonly TakenPiece[];
  readonly results: readonly PieceResult[];
  readonly knownBytes: number;
}): void {
  const { results, limits } = opts;
  const sizes = opts.taken.map(({ queued }) => queued.piece.resultBytes);
  const refused = sizes.filter((_, position) => isRefused(results[position]));
  const madeBytes = sizes.reduce(
    (sum, bytes, position) => sum + (results[position]?.kind === 'made' ? bytes : 0),
    0,
  );
  if (refused.length > 0) {
    opts.resultMemory.recordFull({
      address: opts.target.address,
      limits,
      knownBytes: opts.knownBytes + madeBytes,
      resultBytes: Math.min(...refused),
    });
  }
}

/** Whether the worker had no memory for a result. */
export function isRefused(result: PieceResult | undefined): boolean {
  return result?.kind === 'failed' && result.reason === 'no-room';
}
