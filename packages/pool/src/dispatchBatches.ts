import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, RegisteredTarget, TargetNotice } from '@galenatiller/types';

import { abortWhenAllCancelled } from './abortWhenAllCancelled.js';
import type { BatchEvent, BatchResponse, RunPieces } from './batchCall.js';
import type { BatchOutcome } from './beginsAtOnce.js';
import { computeRefusedPauseMs } from './computeRefusedPauseMs.js';
import { describeBatch } from './describeBatch.js';
import { isRefused, recordFullWorker } from './recordFullWorker.js';
import { failStopped, NO_SUSPECTS, type PieceSuspects } from './pieceSuspects.js';
import type { ResultMemory } from './resultMemory.js';
import type { SeenHandles } from './seenHandles.js';
import { retryOrFail, settlePiece } from './settlePiece.js';
import type { StageQueue } from './stageQueue.js';
import type { TakenPiece } from './takeOptions.js';
import { watchStart } from './watchStart.js';
import { type FindWorkerLoad, toDurationFactor, type UnevenWorker } from './workerLoad.js';
import type { WorkerSpeed } from './workerSpeed.js';

/** Options of {@link dispatchBatches}. */
export interface DispatchBatchesOptions {
  readonly timer: TimerService;
  readonly queue: StageQueue;
  readonly target: RegisteredTarget;
  /** Undefined while the service is not configured for batches. */
  readonly limits: () => BatchLimits | undefined;
  /** Whether the worker may get new work. */
  readonly isUsable: (target: RegisteredTarget) => boolean;
  readonly resultMemory: ResultMemory;
  /**
   * Number of nodes that may send pieces to the worker together with this one. They share its result
   * memory, and their attempts while it is full.
   */
  readonly senders: () => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  readonly workerSpeed: WorkerSpeed;
  readonly seenHandles: SeenHandles;
  /** Pieces that may crash their workers; none are known if omitted. */
  readonly suspects?: PieceSuspects;
  readonly runPieces: RunPieces;
  readonly onBatch: (event: BatchEvent) => void;
  /** Called when a batch call is sent to the worker. */
  readonly onSent: (target: RegisteredTarget) => void;
  /** Called with what the worker says about itself in an answer. */
  readonly onNotice: (target: RegisteredTarget, notice: TargetNotice) => void;
  /** What the worker states about how long work takes on it; unset where no worker can. */
  readonly findLoad?: FindWorkerLoad | undefined;
  readonly signal: AbortSignal;
}

/**
 * A batch call times out after this multiple of its expected duration, so that a worker at a fifth
 * of its speed is abandoned.
 */
const TIMEOUT_FACTOR = 3;

/** Minimum timeout of a batch call: several others may be queued at the worker before it. */
const MIN_TIMEOUT_MS = 900;

/** Pause after a batch call failed, doubled with each consecutive failure. */
const FAILED_PAUSE_MS = 200;
const MAX_FAILED_PAUSE_MS = 1_600;

/**
 * The task of one stage worker: takes pieces for a batch call, sends them and settles each of them,
 * until the signal aborts.
 */
export async function dispatchBatches(opts: DispatchBatchesOptions): Promise<void> {
  const { timer, queue, target, resultMemory, workerSpeed, signal } = opts;
  const { suspects = NO_SUSPECTS } = opts;
  let failures = 0;
  let refusals = 0;
  let lastOutcome: BatchOutcome = 'none';
  while (!signal.aborted) {
    const limits = opts.limits();
    if (!limits || !opts.isUsable(target)) {
      await timer.sleep({ delayMs: FAILED_PAUSE_MS, signal });
      continue;
    }
    const chosen = await queue.take({
      target,
      limits,
      availableBytes: () =>
        resultMemory.availableBytes({ address: target.address, limits, share: 1 / opts.senders() }),
      minWaitMs: workerSpeed.minWaitMs(target.address),
      uneven: describeUneven(opts),
      signal,
    });
    const taken = failStopped(suspects, chosen);
    if (taken.length === 0) {
      continue;
    }
    if (!opts.isUsable(target)) {
      taken.forEach((piece) => piece.requeue({ countsAsAttempt: false }));
      continue;
    }
    opts.onSent(target);
    const outcome = await runBatch({ ...opts, suspects, limits, taken, lastOutcome });
    lastOutcome = outcome;
    failures = outcome === 'failed' ? failures + 1 : 0;
    refusals = outcome === 'refused' ? refusals + 1 : 0;
    if (outcome === 'failed') {
      const delayMs = Math.min(MAX_FAILED_PAUSE_MS, FAILED_PAUSE_MS * 2 ** (failures - 1));
      await timer.sleep({ delayMs, signal });
    }
    if (outcome === 'refused') {
      const { random } = opts;
      const delayMs = computeRefusedPauseMs({ refusals, senders: opts.senders(), random });
      await timer.sleep({ delayMs, signal });
    }
  }
}

function describeUneven(opts: DispatchBatchesOptions): UnevenWorker | undefined {
  const { target, findLoad, senders, random } = opts;
  return findLoad && { findLoad, senders, random, isUsable: () => opts.isUsable(target) };
}

async function runBatch(
  opts: Omit<DispatchBatchesOptions, 'limits'> & {
    readonly suspects: PieceSuspects;
    readonly limits: BatchLimits;
    readonly taken: readonly TakenPiece[];
    readonly lastOutcome: BatchOutcome;
  },
): Promise<BatchOutcome> {
  const { timer, target, taken, limits, resultMemory, workerSpeed } = opts;
  const startedAtMs = timer.nowMs();
  const expectedMs = limits.callOverheadMs + limits.pieceMs * taken.length;
  const factorBefore = toDurationFactor(opts.findLoad?.());
  const slowdown = factorBefore * workerSpeed.slowdown(target.address);
  const timeout = timer.startTimeLimit({
    limitMs: Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * expectedMs * slowdown),
  });
  const cancellation = abortWhenAllCancelled(taken);
  const pieces = taken.map(({ queued: queuedPiece }) => queuedPiece.piece);
  const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
  const knownBytes = resultMemory.countedBytes(target.address);
  resultMemory.reserve(target.address, bytes);
  const start = watchStart(opts);
  const received = await opts.runPieces({
    target,
    pieces,
    // A worker goes on with a call whose connection is closed, and without a response nothing frees its
    // results. Only a call that waits behind those of other senders is dropped.
    signal:
      opts.senders() === 1
        ? timeout.signal
        : AbortSignal.any([timeout.signal, cancellation.signal]),
  });
  const response = validateResponse(opts, received);
  passNotice(opts, response);
  timeout.release();
  cancellation.release();
  start.release();
  resultMemory.releaseReservation(target.address, bytes);
  const tookMs = timer.nowMs() - startedAtMs;
  opts.onBatch(
    describeBatch({ ...opts, response, startedAtMs, tookMs, isBegunEarly: start.isBegun() }),
  );
  if (response.kind !== 'answered') {
    const isCancelled = cancellation.signal.aborted;
    if (response.kind === 'broken' && !isCancelled) {
      await opts.suspects.recordBroken({ target, pieces });
    }
    return endUnanswered({ ...opts, kind: response.kind, bytes, isCancelled, start });
  }
  // A worker that states that it is slow, before or after the call, is not taken for a failing one.
  const factor = Math.max(factorBefore, toDurationFactor(opts.findLoad?.()));
  const { address } = target;
  workerSpeed.recordSuccess({ address, tookMs, expectedMs: expectedMs * factor });
  recordFullWorker({ ...opts, results: response.results, knownBytes });
  response.results.forEach((result, position) => {
    const piece = taken[position];
    if (piece) {
      settlePiece({ ...opts, piece, result, areInputsFreed: start.isBegun() });
    }
  });
  // A worker without room for any result responds at once, and would be sent pieces in a tight loop.
  return response.results.every(isRefused) ? 'refused' : 'done';
}

/** Has the pieces of a batch call without results run again. */
function endUnanswered(
  opts: Pick<DispatchBatchesOptions, 'target' | 'resultMemory' | 'workerSpeed'> & {
    readonly kind: Exclude<BatchResponse['kind'], 'answered'>;
    readonly taken: readonly TakenPiece[];
    readonly limits: BatchLimits;
    readonly bytes: number;
    readonly isCancelled: boolean;
    readonly start: { readonly isBegun: () => boolean };
    readonly suspects: PieceSuspects;
  },
): BatchOutcome {
  const { target, kind, bytes, limits } = opts;
  const { address } = target;
  if (kind === 'broken') {
    opts.resultMemory.addLost({ address, bytes, limits });
  }
  const countsAsAttempt = kind !== 'refused';
  const areInputsFreed = opts.start.isBegun();
  failStopped(opts.suspects, opts.taken).forEach((piece) =>
    retryOrFail({ piece, countsAsAttempt, areInputsFreed }),
  );
  if (!opts.isCancelled && countsAsAttempt) {
    opts.workerSpeed.recordFailure(address);
  }
  return countsAsAttempt ? 'failed' : 'refused';
}

/**
 * Rejects a response that belongs to another batch call: it has the wrong number of results, or
 * results seen before. One without any result may repeat an earlier response, but does no harm.
 */
function validateResponse(
  opts: Pick<DispatchBatchesOptions, 'seenHandles'> & { readonly taken: readonly TakenPiece[] },
  response: BatchResponse,
): BatchResponse {
  if (response.kind !== 'answered') {
    return response;
  }
  const handles = response.results.flatMap((result) =>
    result.kind === 'made' ? [result.handle] : [],
  );
  const areNew = opts.seenHandles.recordAndCheckNew(handles);
  const isForeign = response.results.length !== opts.taken.length || !areNew;
  if (isForeign || handles.length === 0) {
    response.discard();
  }
  if (isForeign) {
    return { kind: 'broken', detail: 'the response belongs to another batch call' };
  }
  return response;
}

function passNotice(
  { target, onNotice }: Pick<DispatchBatchesOptions, 'target' | 'onNotice'>,
  { notice }: BatchResponse,
): void {
  if (notice) {
    onNotice(target, notice);
  }
}
