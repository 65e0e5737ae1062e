import { setMaxListeners } from 'node:events';

import { linkAborts } from '@galenatiller/tasks';
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
import { findLastStages, orderStages } from './stageGraph.js';
import { StageStart } from './stageStart.js';
import { waitForStart, type WaitForStartOptions } from './waitForStart.js';

/** Submits a piece to the workers of a service. */
export type SubmitPiece = (opts: {
  readonly service: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  /** Called once a worker has surely fetched the inputs of the piece; may never be called. */
  readonly onBegun?: (() => void) | undefined;
}) => Promise<PieceResult>;

/** Options of {@link runStages}. */
export interface RunStagesOptions extends Omit<WaitForStartOptions, 'position' | 'signal'> {
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
  /** How long the workers of a service keep results. */
  readonly resultTtlMs: (service: string) => number;
  readonly submit: SubmitPiece;
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
  /** `hopeless`: the stage did not start, since the response would come too late. */
  readonly reason: PieceFailure | 'hopeless';
  /** Frees what has not been freed yet. */
  readonly free: () => void;
}

/** Runs the graph of stages: each starts once the stages that it depends on are done. */
export async function runStages(opts: RunStagesOptions): Promise<StagesDone | StagesFailed> {
  const { route } = opts;
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
  const fail = (stage: number, reason: StagesFailed['reason']): readonly [] => {
    failure ??= { kind: 'failed', stage, reason, free };
    // What the other stages make is no longer needed.
    abort.abort();
    return [];
  };
  const runs = new Map<number, StageRun>();
  const starts = route.stages.map(() => StageStart.create());
  orderStages(route.stages).forEach(({ position, stage }) => {
    const dependencies = Promise.all(stage.dependsOn.map((other) => getRun(runs, other)));
    const run = dependencies.then(async (earlier) => {
      const inputs = earlier.flat();
      const start = await waitForStart({ ...opts, position, signal });
      if (start.kind === 'given-up') {
        return fail(position, 'hopeless');
      }
      opts.onStageStarted(position, start.waitedMs);
      const results = await submitPieces({
        ...opts,
        stage,
        position,
        inputs,
        hasResults: heldResults.size > 0,
        start: starts[position],
        signal,
      });
      const made = findMade({ ...opts, stage, results });
      made.forEach((result) => heldResults.add(result));
      const failed = results.find((result) => result.kind === 'failed');
      if (failed) {
        fail(position, failed.reason);
      }
      if (!failure) {
        opts.onStageDone(position);
        starts[position]?.recordAll();
      }
      return made;
    });
    runs.set(position, run);
  });
  freeWhenUsed({ route, runs, starts, release });
  await Promise.all(runs.values()).finally(unlink);
  if (failure) {
    return failure;
  }
  const inputs = await Promise.all(
    findLastStages(route.stages).map((position) => getRun(runs, position)),
  );
  return { kind: 'done', inputs: inputs.flat(), free };
}

/** Results of a stage, once it has run. */
type StageRun = Promise<readonly StageResultHandle[]>;

/** The run of a stage. Throws if there is none, since its results would be missing without notice. */
function getRun(runs: ReadonlyMap<number, StageRun>, position: number): StageRun {
  const run = runs.get(position);
  if (!run) {
    throw new Error(`stage ${position} has not been started, although others depend on it`);
  }
  return run;
}

interface SubmitOptions extends RunStagesOptions {
  readonly stage: RouteStage;
  readonly position: number;
  readonly inputs: readonly StageResultHandle[];
  /** Whether the call holds results of other stages, which expire if this one waits. */
  readonly hasResults: boolean;
  readonly start: StageStart | undefined;
}

function submitPieces(opts: SubmitOptions): Promise<readonly PieceResult[]> {
  const { call, stage, position, inputs, start, signal } = opts;
  const pieces = Array.from({ length: getPieceCount(call, position) }, (_, piece) => piece);
  const onBegun = (piece: number): (() => void) | undefined =>
    inputs.length > 0 ? () => start?.record(piece, pieces.length) : undefined;
  return Promise.all(
    pieces.map((piece) =>
      signal.aborted
        ? Promise.resolve(FAILED_LATE)
        : opts.submit({
            service: stage.service,
            signal,
            onBegun: onBegun(piece),
            piece: createPiece(opts, piece),
          }),
    ),
  );
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

function createPiece(opts: SubmitOptions, piece: number): StagePiece {
  const { call, stage, position, inputs, hasResults } = opts;
  const urgency = opts.urgencies[position];
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
    urgency: urgency && { ...urgency, hasBegun: urgency.hasBegun || hasResults },
    fingerprint: createStageFingerprint({
      content: opts.content,
      pieceKey: call.pieceKey,
      service: stage.service,
      position,
    }),
  };
}

/** Frees the results of each stage as soon as every piece that depends on it has begun or is done. */
function freeWhenUsed(opts: {
  readonly route: RouteConfig;
  readonly runs: ReadonlyMap<number, StageRun>;
  readonly starts: readonly StageStart[];
  readonly release: (results: readonly StageResultHandle[]) => void;
}): void {
  const { runs, starts, release } = opts;
  const { stages } = opts.route;
  runs.forEach((run, position) => {
    const dependents = starts
      .filter((_, other) => stages[other]?.dependsOn.includes(position))
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
