import type { PieceResult, RegisteredTarget } from '@galenatiller/types';

import type { BatchEvent, BatchResponse } from './batchCall.js';
import { isRefused } from './recordFullWorker.js';
import type { TakenPiece } from './takeOptions.js';

/** Describes how a batch call ended. */
export function describeBatch(opts: {
  readonly target: RegisteredTarget;
  readonly taken: readonly TakenPiece[];
  readonly response: BatchResponse;
  readonly startedAtMs: number;
  readonly tookMs: number;
  readonly isBegunEarly: boolean;
}): BatchEvent {
  const { target, taken, response, startedAtMs, tookMs } = opts;
  const queuedSinceMs = taken.map(({ queued }) => queued.queuedSinceMs);
  return {
    target,
    requestIds: taken.map(({ queued }) => queued.piece.requestId),
    stages: taken.map(({ queued }) => queued.piece.stage),
    tookMs: Math.round(tookMs),
    waitedMs: Math.round(startedAtMs - Math.min(...queuedSinceMs)),
    isBegunEarly: opts.isBegunEarly,
    withoutRoom: response.kind === 'answered' ? response.results.filter(isRefused).length : 0,
    kind: response.kind,
    outcome:
      response.kind === 'answered'
        ? describeResults(response.results)
        : `${response.kind}: ${response.detail}`,
  };
}

function describeResults(results: readonly PieceResult[]): string {
  const failed = results.flatMap((result) => (result.kind === 'failed' ? [result.reason] : []));
  return failed.length === 0
    ? 'made'
    : `made ${results.length - failed.length}, ${failed.join(' ')}`;
}
