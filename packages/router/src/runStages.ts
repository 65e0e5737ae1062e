import { setMaxListeners } from 'node:events';

import { linkAborts } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  PieceFailure,
  PieceResult,
  PieceUrgency,
  RouteConfig,
  RoutedCall,
  RouteStage,
  StagePiece,
} from '@galenatiller/types';

import { getPieceCount } from './computeStageDeadlines.js';
import { createStageFingerprint } from './pieceSuspects.js';
import { StageStart } from './stageStart.js';

/** Submits a piece to the workers of a service. */
export type SubmitPiece = (opts: {
  readonly service: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  /** Called once a worker has surely fetched the inputs of the piece; may never be called. */
  readonly onBegun?: (() => void) | undefined;
}) => Promise<PieceResult>;

/** Options of {@link runStages}. */
export interface RunStagesOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  /** Fingerprint of the content of the call. */
  readonly content: string;
  readonly priority: number;
  /** Zone in which the call is likely to run; empty when that is not known. */
  readonly zoneHint: string;
  /** Monotonic times by which the stages have to be done for the call to get a response. */
  readonly deadlinesAtMs: readonly number[];
  readonly dueAtMs: number;
  readonly urgencies: readonly PieceUrgency[];
  /** Monotonic times until which the pieces of a stage may wait for a worker in the hinted zone. */
  readonly zoneWaitsUntilMs: readonly number[];
  readonly nowMs: () => number;
  /** How long the workers of a service keep results. */
  readonly resultTtlMs: (service: string) => number;
  readonly submit: SubmitPiece;
  /** Time for which a stage whose dependencies are done should still wait, as far as is known now. */
  readonly startDelayMs: (position: number) => number;
  readonly sleep: TimerService['sleep'];
  /** Called when the pieces of a stage are submitted, with the time for which that was put off. */
  readonly onStageStarted: (position: number, delayedMs: number) => void;
  /** Called when all pieces of a stage have results. */
  readonly onStageDone: (position: number) => void;
  /** Frees results that no later stage needs. */
  readonly free: (results: readonly StageResultHandle[]) => void;
  readonly signal: AbortSignal;
}

/** A result that is held by the worker that made it. */
export interface StageResultHandle {
  readonly handle: string;
  readonly bytes: number;
  /** Monotonic time at which the worker drops it. */
  readonly expiresAtMs: number;
}

/** Results of the stages of one call. */
export interface StagesDone {
  readonly kind: 'done';
  /** Results of the stages that no other stage depends on. */
  readonly inputs: readonly StageResultHandle[];
  /** Frees what has not been freed yet. */
  readonly free: () => void;
}

/** A stage that failed; results made before are still to be freed. */
export interface StagesFailed {
  readonly kind: 'failed';
  readonly stage: number;
  readonly reason: PieceFailure;
  /** Frees what has not been freed yet. */
  readonly free: () => void;
}

/** Runs the graph of stages: each starts once the stages that it depends on are done. */
export async function runStages(opts: RunStagesOptions): Promise<StagesDone | StagesFailed> {
  const { route, call } = opts;
  const heldResults = new Set<StageResultHandle>();
  const release = (results: readonly StageResultHandle[]): void => {
    opts.free(results.filter((result) => heldResults.delete(result)));
  };
  const free = (): void => release([...heldResults]);
  const abort = new AbortController();
  const { signal, release: unlink } = linkAborts([opts.signal, abort.signal]);
  // Each piece in progress listens for the abort.
  setMaxListeners(0, signal);
  let failure: StagesFailed | undefined;
  const runs: Promise<readonly StageResultHandle[]>[] = [];
  const starts = route.stages.map(() => StageStart.create());
  route.stages.forEach((stage, position) => {
    const dependencies = Promise.all(
      stage.dependsOn.map((earlier) => runs[earlier] ?? Promise.resolve([])),
    );
    const run = dependencies.then(async (earlier) => {
      const inputs = earlier.flat();
      opts.onStageStarted(position, await waitForStart({ ...opts, position, signal }));
      const pieces = Array.from({ length: getPieceCount(call, position) }, (_, piece) => piece);
      const results = await Promise.all(
        pieces.map((piece) => {
          if (signal.aborted) {
            return Promise.resolve(FAILED_LATE);
          }
          return opts.submit({
            service: stage.service,
            signal,
            onBegun:
              inputs.length > 0 ? () => starts[position]?.record(piece, pieces.length) : undefined,
            piece: createPiece({ ...opts, stage, position, piece, inputs }),
          });
        }),
      );
      const made = findMade({ ...opts, stage, results });
      made.forEach((result) => heldResults.add(result));
      const failed = results.find((result) => result.kind === 'failed');
      if (failed && !failure) {
        failure = { kind: 'failed', stage: position, reason: failed.reason, free };
        // The results of the other pieces are no longer needed.
        abort.abort();
      }
      if (!failure) {
        opts.onStageDone(position);
        starts[position]?.recordAll();
      }
      return made;
    });
    runs.push(run);
  });
  freeWhenUsed({ route, runs, starts, release });
  const results = await Promise.all(runs).finally(unlink);
  if (failure) {
    return failure;
  }
  const dependencyPositions = new Set(route.stages.flatMap(({ dependsOn }) => dependsOn));
  const inputs = results.filter((_, position) => !dependencyPositions.has(position)).flat();
  return { kind: 'done', inputs, free };
}

function findMade(
  opts: Pick<RunStagesOptions, 'nowMs' | 'resultTtlMs'> & {
    readonly stage: RouteStage;
    readonly results: readonly PieceResult[];
  },
): readonly StageResultHandle[] {
  const { stage } = opts;
  const expiresAtMs = opts.nowMs() + opts.resultTtlMs(stage.service);
  return opts.results.flatMap((result) =>
    result.kind === 'made'
      ? [{ handle: result.handle, bytes: stage.resultBytes, expiresAtMs }]
      : [],
  );
}

function createPiece(
  opts: RunStagesOptions & {
    readonly stage: RouteStage;
    readonly position: number;
    readonly piece: number;
    readonly inputs: readonly StageResultHandle[];
  },
): StagePiece {
  const { call, stage, position, piece, inputs } = opts;
  return {
    requestId: call.requestId,
    stage: position,
    piece,
    key: stage.dependsOn.length === 0 ? call.pieceKey : '',
    inputs: inputs.map(({ handle }) => handle),
    inputsExpireAtMs: Math.min(...inputs.map(({ expiresAtMs }) => expiresAtMs)),
    resultBytes: stage.resultBytes,
    zoneHint: stage.resultBytes >= LARGE_RESULT_BYTES ? opts.zoneHint : '',
    deadlineAtMs: opts.deadlinesAtMs[position] ?? 0,
    dueAtMs: opts.dueAtMs,
    zoneWaitUntilMs: opts.zoneWaitsUntilMs[position] ?? 0,
    priority: opts.priority,
    urgency: opts.urgencies[position],
    fingerprint: createStageFingerprint({
      content: opts.content,
      pieceKey: call.pieceKey,
      service: stage.service,
      position,
    }),
  };
}

/** Other stages of a call may end earlier than was expected, which is noticed within this time. */
const START_CHECK_INTERVAL_MS = 100;

/** Waits until a stage should start, or until the signal aborts; resolves to the time that it took. */
async function waitForStart(
  opts: Pick<RunStagesOptions, 'startDelayMs' | 'sleep' | 'nowMs' | 'signal'> & {
    readonly position: number;
  },
): Promise<number> {
  const { signal, position } = opts;
  const readyAtMs = opts.nowMs();
  for (let waitMs = opts.startDelayMs(position); waitMs > 0; waitMs = opts.startDelayMs(position)) {
    const delayMs = Math.min(Math.ceil(waitMs), START_CHECK_INTERVAL_MS);
    await opts.sleep({ delayMs, signal });
    if (signal.aborted) {
      break;
    }
  }
  return opts.nowMs() - readyAtMs;
}

/** Frees the results of each stage as soon as every piece that depends on it has begun or is done. */
function freeWhenUsed(opts: {
  readonly route: RouteConfig;
  readonly runs: readonly Promise<readonly StageResultHandle[]>[];
  readonly starts: readonly StageStart[];
  readonly release: (results: readonly StageResultHandle[]) => void;
}): void {
  const { runs, starts, release } = opts;
  const { stages } = opts.route;
  runs.forEach((run, position) => {
    const dependents = starts
      .filter((_, later) => stages[later]?.dependsOn.includes(position))
      .map(({ allBegun }) => allBegun);
    if (dependents.length > 0) {
      Promise.all([run, ...dependents]).then(
        ([made]) => release(made),
        () => {},
      );
    }
  });
}

/** Fetching less than this from another zone takes no longer than a round trip. */
const LARGE_RESULT_BYTES = 500_000;

const FAILED_LATE: PieceResult = { kind: 'failed', reason: 'late' };
