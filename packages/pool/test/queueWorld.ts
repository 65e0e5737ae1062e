/**
 * A stage queue with scripted workers on a manual clock, shared by the steps in this folder.
 */
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

import { createWorker } from './stageWorker.js';

interface Call {
  readonly pieces: readonly StagePiece[];
  readonly zone: string;
  readonly respond: (response: BatchResponse) => void;
}

export interface QueueWorld {
  stageClock: ManualClock;
  stageTimer: TimerService;
  stageQueue: StageQueue;
  resultMemory: ResultMemory;
  stop: AbortController;
  calls: Call[];
  /** Number of batch calls that earlier steps have checked. */
  checkedCalls: number;
  handles: number;
  /** Number of responses whose connection was closed. */
  discards: number;
  /** Results that the worker still has memory for. */
  resultsLeft: number;
  /** Calls that found no memory for a result. */
  fullCalls: number;
  /** Whether the worker has no room for any result, and says so at once. */
  isWithoutRoom: boolean;
  closedCalls: number;
  losesResponses: boolean;
  freeMs: number;
  requests: number;
  /**
   * Failures of the next batch calls; `repeat` sends the first response again, and has no effect on
   * the first batch call.
   */
  scriptedFailures: (PieceFailure | 'repeat')[];
  firstResponse: BatchResponse | undefined;
  storedHandles: string[];
  /** Zones whose workers don't respond until the step does. */
  blockedZones: ReadonlySet<string>;
  results: Promise<PieceResult>[];
  /** One for each request; aborting it cancels the request. */
  requestAborts: AbortController[];
  abandoned: AbandonedStageEvent[];
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

/** Time in which a worker responds that does no work. */
const AT_ONCE_MS = 3;

export function startWorker(world: QueueWorld, zone: string): void {
  const target = createWorker(zone);
  dispatchBatches({
    timer: world.stageTimer,
    queue: world.stageQueue,
    target,
    limits: () => LIMITS,
    isUsable: () => true,
    resultMemory: world.resultMemory,
    senders: () => 1,
    random: () => 0.5,
    workerSpeed: WorkerSpeed.create(),
    seenHandles: SeenHandles.create({ timer: world.stageTimer }),
    runPieces: ({ pieces, signal }) => {
      signal.addEventListener('abort', () => {
        world.closedCalls += 1;
      });
      return runPieces(world, target, pieces);
    },
    onBatch: () => {},
    onSent: () => {},
    onNotice: () => {},
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
  let respond: (response: BatchResponse) => void = () => {};
  const response = new Promise<BatchResponse>((resolve) => {
    respond = resolve;
  });
  world.calls.push({ pieces, zone: target.availabilityZone, respond });
  if (world.blockedZones.has(target.availabilityZone)) {
    return response;
  }
  await world.stageTimer.sleep({ delayMs: world.isWithoutRoom ? AT_ONCE_MS : CALL_MS });
  if (world.losesResponses) {
    return { kind: 'broken', detail: 'the response was lost' };
  }
  return createResponse(world, target, pieces);
}

export function createResponse(
  world: QueueWorld,
  target: RegisteredTarget,
  pieces: readonly StagePiece[],
): BatchResponse {
  const scriptedFailure = world.scriptedFailures.shift();
  if (scriptedFailure === 'repeat' && world.firstResponse) {
    return world.firstResponse;
  }
  const results = pieces.map((): PieceResult => {
    if (scriptedFailure && scriptedFailure !== 'repeat') {
      return { kind: 'failed', reason: scriptedFailure };
    }
    if (world.resultsLeft === 0 || world.isWithoutRoom) {
      return { kind: 'failed', reason: 'no-room' };
    }
    world.resultsLeft -= 1;
    world.handles += 1;
    return { kind: 'made', handle: `${target.address}/h${world.handles}` };
  });
  if (results.some((result) => result.kind === 'failed' && result.reason === 'no-room')) {
    world.fullCalls += 1;
  }
  const discard = (): void => {
    world.discards += 1;
  };
  const response: BatchResponse = { kind: 'answered', results, discard };
  world.firstResponse ??= response;
  return response;
}

export function submit(world: QueueWorld, changes: Partial<StagePiece> = {}): void {
  const signal = world.requestAborts.at(-1)?.signal ?? new AbortController().signal;
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
  world.results.push(
    world.stageQueue.submit({ piece, signal }).then((result) => {
      assert.ok(result, 'the piece was handed back');
      return result;
    }),
  );
}

export function newRequest(world: QueueWorld): void {
  world.requests += 1;
  world.requestAborts.push(new AbortController());
}

export async function waitForResult(world: QueueWorld, index: number): Promise<PieceResult> {
  let result: PieceResult | undefined;
  world.results[index]?.then(
    (settled) => {
      result = settled;
    },
    () => {},
  );
  for (let round = 0; !result && round < 200; round += 1) {
    await world.stageClock.advance({ byMs: 100 });
  }
  assert.ok(result, 'the piece was never settled');
  return result;
}
