import type {
  PieceFailure,
  PieceResult,
  RoutedCall,
  RouteStage,
  RouteConfig,
  StagePiece,
} from '@galenatiller/types';

import { getPieceCount } from './computeStageDeadlines.js';

/** Hands a piece to the workers of a service. */
export type SubmitPiece = (opts: {
  readonly service: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
}) => Promise<PieceResult>;

/** Options of {@link runStages}. */
export interface RunStagesOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  readonly priority: number;
  /** Zone in which the call is likely to run; empty when that is open. */
  readonly zoneHint: string;
  /** Monotonic times by which the stages have to be done for the call to be answered at all. */
  readonly deadlinesAtMs: readonly number[];
  readonly dueAtMs: number;
  /** Monotonic times until which the pieces of a stage may wait for a worker near their inputs. */
  readonly zoneWaitsUntilMs: readonly number[];
  readonly nowMs: () => number;
  /** How long the results of a service stay at their maker. */
  readonly resultTtlMs: (service: string) => number;
  readonly submit: SubmitPiece;
  /** Frees results that no later stage needs any more. */
  readonly free: (results: readonly StageResult[]) => void;
  readonly signal: AbortSignal;
}

/** A result that lies at its maker. */
export interface StageResult {
  readonly handle: string;
  readonly bytes: number;
  /** Monotonic time at which the maker drops it. */
  readonly expiresAtMs: number;
}

/** Results of the stages of one call. */
export interface StagesDone {
  readonly kind: 'done';
  /** Results of the stages that no other stage follows. */
  readonly inputs: readonly StageResult[];
  /** Frees what has not been freed yet. */
  readonly free: () => void;
}

/** A stage that could not be done; results made before are still to be freed. */
export interface StagesFailed {
  readonly kind: 'failed';
  readonly stage: number;
  readonly reason: PieceFailure;
  /** Frees what has not been freed yet. */
  readonly free: () => void;
}

/** Walks the graph of stages: each begins once the stages that it needs are done. */
export async function runStages(opts: RunStagesOptions): Promise<StagesDone | StagesFailed> {
  const { route, call } = opts;
  const held = new Set<StageResult>();
  const release = (results: readonly StageResult[]): void => {
    opts.free(results.filter((result) => held.delete(result)));
  };
  const free = (): void => release([...held]);
  const abort = new AbortController();
  const signal = AbortSignal.any([opts.signal, abort.signal]);
  let failure: StagesFailed | undefined;
  const runs: Promise<readonly StageResult[]>[] = [];
  route.stages.forEach((stage, position) => {
    const needed = Promise.all(
      stage.dependsOn.map((earlier) => runs[earlier] ?? Promise.resolve([])),
    );
    const run = needed.then(async (earlier) => {
      const inputs = earlier.flat();
      const pieces = Array.from({ length: getPieceCount(call, position) }, (_, piece) => piece);
      const results = await Promise.all(
        pieces.map((piece) => {
          if (signal.aborted) {
            return Promise.resolve(FAILED_LATE);
          }
          return opts.submit({
            service: stage.service,
            signal,
            piece: pieceOf({ ...opts, stage, position, piece, inputs }),
          });
        }),
      );
      const made: StageResult[] = [];
      results.forEach((result) => {
        if (result.kind === 'made') {
          const expiresAtMs = opts.nowMs() + opts.resultTtlMs(stage.service);
          made.push({ handle: result.handle, bytes: stage.resultBytes, expiresAtMs });
        } else if (!failure) {
          failure = { kind: 'failed', stage: position, reason: result.reason, free };
          // What the other pieces would make is of no use any more.
          abort.abort();
        }
      });
      made.forEach((result) => held.add(result));
      return made;
    });
    runs.push(run);
  });
  freeWhenUsed({ route, runs, release });
  const results = await Promise.all(runs);
  if (failure) {
    return failure;
  }
  const followed = new Set(route.stages.flatMap(({ dependsOn: after }) => after));
  const inputs = results.filter((_, position) => !followed.has(position)).flat();
  return { kind: 'done', inputs, free };
}

function pieceOf(
  opts: RunStagesOptions & {
    readonly stage: RouteStage;
    readonly position: number;
    readonly piece: number;
    readonly inputs: readonly StageResult[];
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
  };
}

/** Results of a stage are freed as soon as every stage that needs them is done. */
function freeWhenUsed(opts: {
  readonly route: RouteConfig;
  readonly runs: readonly Promise<readonly StageResult[]>[];
  readonly release: (results: readonly StageResult[]) => void;
}): void {
  const { runs, release } = opts;
  const { stages } = opts.route;
  runs.forEach((run, position) => {
    const followers = runs.filter((_, later) => stages[later]?.dependsOn.includes(position));
    if (followers.length > 0) {
      Promise.all([run, ...followers]).then(
        ([made]) => release(made),
        () => {},
      );
    }
  });
}

/** Fetching less than this from another zone takes no longer than a round trip. */
const LARGE_RESULT_BYTES = 500_000;

const FAILED_LATE: PieceResult = { kind: 'failed', reason: 'late' };
