import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, RegisteredTarget, PieceResult, StagePiece } from '@galenatiller/types';

import type { ResultMemory } from './resultMemory.js';
import type { SeenHandles } from './seenHandles.js';
import type { StageQueue, TakenPiece } from './stageQueue.js';
import type { WorkerSpeed } from './workerSpeed.js';

/** Answer to a call: one result for each piece, or why there is none. */
export type BatchResponse =
  | { readonly kind: 'answered'; readonly results: readonly PieceResult[] }
  /** `refused`: the worker was full. `moved`: another worker has the address. */
  | { readonly kind: 'refused' | 'moved' | 'unreachable' | 'broken'; readonly detail: string };

/** Sends pieces to a worker in one call. */
export type RunPieces = (opts: {
  readonly target: RegisteredTarget;
  readonly pieces: readonly StagePiece[];
  readonly signal: AbortSignal;
}) => Promise<BatchResponse>;

/** What happened to a call, for the log. */
export interface BatchEvent {
  readonly target: RegisteredTarget;
  readonly requestIds: readonly string[];
  readonly stages: readonly number[];
  readonly tookMs: number;
  readonly waitedMs: number;
  readonly kind: BatchResponse['kind'];
  readonly outcome: string;
}

/** Options of {@link dispatchBatches}. */
export interface DispatchBatchesOptions {
  readonly timer: TimerService;
  readonly queue: StageQueue;
  readonly target: RegisteredTarget;
  readonly limits: () => BatchLimits | undefined;
  /** Whether the worker may get new work now. */
  readonly isUsable: (target: RegisteredTarget) => boolean;
  readonly resultMemory: ResultMemory;
  /** Share of the worker's room that this node may use. */
  readonly memoryShare: () => number;
  readonly workerSpeed: WorkerSpeed;
  readonly seenHandles: SeenHandles;
  readonly runPieces: RunPieces;
  readonly onBatch: (event: BatchEvent) => void;
  readonly signal: AbortSignal;
}

/** Calls that one piece may be part of; three lost calls use up the deadlines in force. */
const MOST_TRIES = 4;

/** A call is given up after this many times its usual time; a worker at a fifth of its speed ends. */
const GIVE_UP_FACTOR = 3;

/** Least time until a call is given up: several calls may wait at the worker before it. */
const GIVE_UP_LEAST_MS = 900;

/** Pause after a full worker refused; about a sixth of a call. */
const REFUSED_PAUSE_MS = 40;

/** Pause after a worker could not be reached, doubled with each failure in a row. */
const FAILED_PAUSE_MS = 200;
const FAILED_PAUSE_CAP_MS = 1_600;

/** The task of one stage worker: takes a call's worth of pieces, sends it, settles each piece. */
export async function dispatchBatches(opts: DispatchBatchesOptions): Promise<void> {
  const { timer, queue, target, resultMemory: room, workerSpeed: speed, signal } = opts;
  let failures = 0;
  while (!signal.aborted) {
    const limits = opts.limits();
    if (!limits || !opts.isUsable(target)) {
      await timer.sleep({ delayMs: FAILED_PAUSE_MS, signal });
      continue;
    }
    const taken = await queue.take({
      target,
      limits,
      availableBytes: () =>
        room.availableBytes({ address: target.address, limits, share: opts.memoryShare() }),
      minWaitMs: speed.minWaitMs(target.address),
      signal,
    });
    if (taken.length === 0) {
      continue;
    }
    if (!opts.isUsable(target)) {
      taken.forEach((piece) => piece.requeue({ countsAsAttempt: false }));
      continue;
    }
    const answer = await runBatch({ ...opts, limits, taken });
    failures = answer === 'failed' ? failures + 1 : 0;
    if (answer === 'failed') {
      const delayMs = Math.min(FAILED_PAUSE_CAP_MS, FAILED_PAUSE_MS * 2 ** (failures - 1));
      await timer.sleep({ delayMs, signal });
    }
    if (answer === 'refused') {
      await timer.sleep({ delayMs: REFUSED_PAUSE_MS, signal });
    }
  }
}

type BatchOutcome = 'done' | 'refused' | 'failed';

async function runBatch(
  opts: Omit<DispatchBatchesOptions, 'limits'> & {
    readonly limits: BatchLimits;
    readonly taken: readonly TakenPiece[];
  },
): Promise<BatchOutcome> {
  const { timer, target, taken, limits, resultMemory: room, workerSpeed: speed } = opts;
  const startedAtMs = timer.nowMs();
  const usualMs = limits.callOverheadMs + limits.pieceMs * taken.length;
  const limit = timer.startTimeLimit({
    limitMs: Math.max(GIVE_UP_LEAST_MS, GIVE_UP_FACTOR * usualMs * speed.slowdown(target.address)),
  });
  const unwanted = abortWhenAllUnwanted(taken);
  const pieces = taken.map(({ queued: waiting }) => waiting.piece);
  const bytes = pieces.reduce((sum, piece) => sum + piece.resultBytes, 0);
  room.reserve(target.address, bytes);
  const reply = await opts.runPieces({
    target,
    pieces,
    signal: AbortSignal.any([limit.signal, unwanted.signal]),
  });
  const answer = checkAnswer(opts, reply);
  limit.release();
  unwanted.release();
  room.releaseReservation(target.address, bytes);
  const tookMs = timer.nowMs() - startedAtMs;
  opts.onBatch({
    target,
    requestIds: pieces.map((piece) => piece.requestId),
    stages: pieces.map((piece) => piece.stage),
    tookMs: Math.round(tookMs),
    waitedMs: Math.round(
      startedAtMs - Math.min(...taken.map(({ queued: waiting }) => waiting.queuedSinceMs)),
    ),
    kind: answer.kind,
    outcome:
      answer.kind === 'answered' ? describe(answer.results) : `${answer.kind}: ${answer.detail}`,
  });
  if (answer.kind !== 'answered') {
    taken.forEach((piece) => settleFailed(piece, answer.kind !== 'refused'));
    if (!unwanted.signal.aborted && answer.kind !== 'refused') {
      speed.recordFailure(target.address);
    }
    return answer.kind === 'refused' ? 'refused' : 'failed';
  }
  speed.recordSuccess({ address: target.address, tookMs, usualMs });
  answer.results.forEach((result, position) => {
    const piece = taken[position];
    if (piece) {
      settleResult({ ...opts, piece, result });
    }
  });
  return 'done';
}

/** An answer with the wrong number of results, or with results seen before, is another call's. */
function checkAnswer(
  opts: Pick<DispatchBatchesOptions, 'seenHandles'> & { readonly taken: readonly TakenPiece[] },
  reply: BatchResponse,
): BatchResponse {
  if (reply.kind !== 'answered') {
    return reply;
  }
  const handles = reply.results.flatMap((result) =>
    result.kind === 'made' ? [result.handle] : [],
  );
  const areNew = opts.seenHandles.recordIfNew(handles);
  if (reply.results.length !== opts.taken.length || !areNew) {
    return { kind: 'broken', detail: 'the answer belongs to another call' };
  }
  return reply;
}

function settleResult(opts: {
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  readonly resultMemory: ResultMemory;
  readonly piece: TakenPiece;
  readonly result: PieceResult;
}): void {
  const { piece, result, resultMemory } = opts;
  if (result.kind === 'made') {
    const { resultBytes } = piece.queued.piece;
    resultMemory.add({ handle: result.handle, bytes: resultBytes, limits: opts.limits });
    if (piece.signal.aborted) {
      resultMemory.free([result.handle]);
    }
    piece.settle(result);
    return;
  }
  if (result.reason === 'no-room') {
    resultMemory.recordFull(opts.target.address);
  }
  if (result.reason === 'no-room' || result.reason === 'failed') {
    settleFailed(piece, result.reason === 'failed');
    return;
  }
  piece.settle(result);
}

function settleFailed(piece: TakenPiece, costsTry: boolean): void {
  if (costsTry && piece.queued.attempts + 1 >= MOST_TRIES) {
    piece.settle({ kind: 'failed', reason: 'unreachable' });
    return;
  }
  piece.requeue({ countsAsAttempt: costsTry });
}

function describe(results: readonly PieceResult[]): string {
  const failed = results.flatMap((result) => (result.kind === 'failed' ? [result.reason] : []));
  return failed.length === 0
    ? 'made'
    : `made ${results.length - failed.length}, ${failed.join(' ')}`;
}

/** A signal that aborts once no piece is wanted any more. */
function abortWhenAllUnwanted(taken: readonly TakenPiece[]): {
  readonly signal: AbortSignal;
  readonly release: () => void;
} {
  const controller = new AbortController();
  const check = (): void => {
    if (taken.every((piece) => piece.signal.aborted)) {
      controller.abort();
    }
  };
  taken.forEach(({ signal }) => signal.addEventListener('abort', check, { once: true }));
  check();
  const release = (): void => {
    taken.forEach(({ signal }) => signal.removeEventListener('abort', check));
  };
  return { signal: controller.signal, release };
}
