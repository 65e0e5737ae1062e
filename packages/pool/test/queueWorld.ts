/** A stage queue with scripted workers on the manual clock, for the steps beside it. */
import assert from 'node:assert/strict';

import {
  type BatchResponse,
  type AbandonedStageEvent,
  type ResultMemory,
  SeenHandles,
  dispatchBatches,
  type StageQueue,
  WorkerSpeed,
} from '@galenatiller/pool';
import type { ManualClock, TimerService } from '@galenatiller/timer';
import type {
  BatchLimits,
  RegisteredTarget,
  PieceFailure,
  PieceResult,
  StagePiece,
} from '@galenatiller/types';

import { worker } from './stageWorker.js';

interface Call {
  readonly pieces: readonly StagePiece[];
  readonly zone: string;
  readonly answer: (answer: BatchResponse) => void;
}

export interface QueueWorld {
  stageClock: ManualClock;
  stageTimer: TimerService;
  stageQueue: StageQueue;
  room: ResultMemory;
  stop: AbortController;
  calls: Call[];
  taken: number;
  handles: number;
  requests: number;
  answers: (PieceFailure | 'repeat')[];
  firstAnswer: BatchResponse | undefined;
  held: string[];
  hold: ReadonlySet<string>;
  outcomes: Promise<PieceResult>[];
  givers: AbortController[];
  givenUp: AbandonedStageEvent[];
}

export const LIMITS: BatchLimits = {
  maxPieces: 7,
  callOverheadMs: 200,
  pieceMs: 20,
  resultMemoryBytes: 1_000,
  resultTtlMs: 4_000,
};
export const RESULT_BYTES = 100;
export const CALL_MS = 300;

export function startWorker(world: QueueWorld, zone: string): void {
  const target = worker(zone);
  dispatchBatches({
    timer: world.stageTimer,
    queue: world.stageQueue,
    target,
    limits: () => LIMITS,
    isUsable: () => true,
    resultMemory: world.room,
    memoryShare: () => 1,
    workerSpeed: WorkerSpeed.create(),
    seenHandles: SeenHandles.create({ timer: world.stageTimer }),
    runPieces: ({ pieces }) => runPieces(world, target, pieces),
    onBatch: () => {},
    signal: world.stop.signal,
  }).catch((error: unknown) => {
    throw error;
  });
}

async function runPieces(
  world: QueueWorld,
  target: RegisteredTarget,
  pieces: readonly StagePiece[],
): Promise<BatchResponse> {
  let answer: (answer: BatchResponse) => void = () => {};
  const ordered = new Promise<BatchResponse>((resolve) => {
    answer = resolve;
  });
  world.calls.push({ pieces, zone: target.availabilityZone, answer });
  if (world.hold.has(target.availabilityZone)) {
    return ordered;
  }
  await world.stageTimer.sleep({ delayMs: CALL_MS });
  return make(world, target, pieces);
}

export function make(
  world: QueueWorld,
  target: RegisteredTarget,
  pieces: readonly StagePiece[],
): BatchResponse {
  const scripted = world.answers.shift();
  if (scripted === 'repeat' && world.firstAnswer) {
    return world.firstAnswer;
  }
  const results = pieces.map((): PieceResult => {
    if (scripted && scripted !== 'repeat') {
      return { kind: 'failed', reason: scripted };
    }
    world.handles += 1;
    return { kind: 'made', handle: `${target.address}/h${world.handles}` };
  });
  const made: BatchResponse = { kind: 'answered', results };
  world.firstAnswer ??= made;
  return made;
}

export function submit(world: QueueWorld, changes: Partial<StagePiece> = {}): void {
  const signal = world.givers.at(-1)?.signal ?? new AbortController().signal;
  const piece: StagePiece = {
    requestId: `request-${world.requests}`,
    stage: 0,
    piece: 0,
    key: 'key',
    inputs: [],
    resultBytes: RESULT_BYTES,
    zoneHint: '',
    inputsExpireAtMs: Infinity,
    zoneWaitUntilMs: 0,
    deadlineAtMs: world.stageTimer.nowMs() + 60_000,
    dueAtMs: world.stageTimer.nowMs() + 30_000,
    priority: 0,
    ...changes,
  };
  world.outcomes.push(world.stageQueue.submit({ piece, signal }));
}

export function newRequest(world: QueueWorld): void {
  world.requests += 1;
  world.givers.push(new AbortController());
}

export async function outcomeOf(world: QueueWorld, index: number): Promise<PieceResult> {
  let result: PieceResult | undefined;
  world.outcomes[index]?.then(
    (one) => {
      result = one;
    },
    () => {},
  );
  for (let round = 0; !result && round < 200; round += 1) {
    await world.stageClock.advance({ byMs: 100 });
  }
  assert.ok(result, 'the piece never ended');
  return result;
}
