import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  dispatchBatches,
  orderPieces,
  ResultMemory,
  SeenHandles,
  StageQueue,
  WorkerSpeed,
} from '@galenatiller/pool';
import { TargetLoads, toTargetStart } from '@galenatiller/target';
import { TimerService } from '@galenatiller/timer';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { SimulatedClock } from './simulatedClock.js';
import { createTarget } from './support.js';

/** Relative duration of a worker in each tenth of a second. */
type Duration = (worker: number, tenth: number) => number;

interface UnevenWorld {
  workers: number;
  duration: Duration;
  results: Readonly<Record<string, Result>>;
}

interface Result {
  readonly doneAtMs: number[];
  readonly measures: Readonly<Record<string, number>>;
}

const CALL = { callOverheadMs: 200, pieceMs: 20, maxPieces: 8 };
const LIMITS = { ...CALL, resultMemoryBytes: 1e9, resultTtlMs: 4_000 };
const CALL_MS = 360;
const TENTH_MS = 100;
const RUN_MS = 30_000;

const MACHINES: Readonly<Record<string, Duration>> = {
  'all at 100 %': () => 1,
  'all at 200 %': () => 2,
  'all at 600 %': () => 6,
  'the first at 300 %': (worker) => (worker === 0 ? 3 : 1),
  'the first two changing ten times a second': (worker, tenth) =>
    worker < 2 ? 1.5 + 3 * draw(worker, tenth) : 0.75 + 0.5 * draw(worker, tenth),
};

const generator = xoroshiro128plus(5);
const DRAWS = Array.from({ length: 5_000 }, () => uniformInt(generator, 0, 999) / 1_000);

/** A number from 0 to 1 for a worker and a tenth of a second, the same in each run. */
function draw(worker: number, tenth: number): number {
  return DRAWS[(worker * 800 + tenth) % DRAWS.length] ?? 0;
}

function rethrow(error: unknown): never {
  throw error;
}

async function run(world: UnevenWorld, rate: number, isStated: boolean): Promise<Result> {
  const clock = SimulatedClock.create();
  const timer = TimerService.create({ clock });
  const loads = TargetLoads.create({ timer, onEvent: () => {} });
  const workerSpeed = WorkerSpeed.create();
  const piecesPerMs = (world.workers * CALL.maxPieces) / CALL_MS;
  const queue = StageQueue.create({
    timer,
    order: orderPieces,
    inputZone: () => '',
    throughput: () => ({ piecesPerMs, callMs: CALL_MS, pausedMs: 0 }),
    workerZones: () => new Set(),
    onStageAbandoned: () => {},
  });
  const resultMemory = ResultMemory.create({
    timer,
    freeResults: () => Promise.resolve(),
    pausedMs: () => 0,
    onMemoryFreed: () => {},
  });
  const seen = { calls: 0, pieces: 0, timeouts: 0, distrusted: 0 };
  Array.from({ length: world.workers }).forEach((_, worker) => {
    const target = createTarget(String.fromCharCode(97 + worker));
    const findDuration = (): number => world.duration(worker, Math.floor(timer.nowMs() / TENTH_MS));
    const record = (): void => {
      const load = { running: 1, waiting: 0, relativeDuration: findDuration() };
      if (isStated) {
        loads.record({ target: toTargetStart(target), load, ownRequests: 1 });
      }
    };
    record();
    dispatchBatches({
      timer,
      queue,
      target,
      limits: () => LIMITS,
      isUsable: () => true,
      resultMemory,
      senders: () => 1,
      random: () => 0.5,
      workerSpeed,
      seenHandles: SeenHandles.create({ timer }),
      runPieces: async ({ pieces, signal }) => {
        let leftMs = CALL.callOverheadMs + CALL.pieceMs * pieces.length;
        while (leftMs > 0 && !signal.aborted) {
          const delayMs = Math.min(TENTH_MS, leftMs * findDuration());
          leftMs -= delayMs / findDuration();
          await timer.sleep({ delayMs, signal });
        }
        record();
        const results = pieces.map(({ requestId }) => ({
          kind: 'made' as const,
          handle: `${target.address}/${requestId}`,
        }));
        return signal.aborted
          ? { kind: 'broken', detail: '' }
          : { kind: 'answered', results, discard: () => {} };
      },
      onBatch: ({ kind, requestIds }) => {
        seen.calls += 1;
        seen.pieces += requestIds.length;
        seen.timeouts += kind === 'broken' ? 1 : 0;
        seen.distrusted += workerSpeed.minWaitMs(target.address) > 0 ? 1 : 0;
      },
      onSent: () => {},
      onNotice: () => {},
      findLoad: () => loads.find({ target: toTargetStart(target), workMs: CALL_MS }),
      signal: new AbortController().signal,
    }).catch(rethrow);
  });
  const doneAtMs: number[] = [];
  const onTime: boolean[] = [];
  const arrivals = xoroshiro128plus(3);
  for (let count = 0; timer.nowMs() < RUN_MS; count += 1) {
    const share = uniformInt(arrivals, 0, 999_999) / 1_000_000;
    await clock.advanceTo(timer.nowMs() - (Math.log(1 - share) * 1_000) / rate);
    const priority = count % 2;
    const dueAtMs = timer.nowMs() + (priority === 0 ? 800 : 10_000);
    const times = { inputsExpireAtMs: Infinity, zoneWaitUntilMs: 0, dueAtMs, deadlineAtMs: 1e9 };
    const ids = { requestId: `request-${count}`, stage: 0, piece: 0, key: 'key', inputs: [] };
    const piece = { ...ids, ...times, resultBytes: 1, zoneHint: '', priority };
    const done = queue.submit({ piece, signal: new AbortController().signal }).then(() => {
      doneAtMs[count] = timer.nowMs();
      onTime[count] = timer.nowMs() <= dueAtMs;
    });
    done.catch(rethrow);
  }
  await clock.advanceTo(RUN_MS + 20_000);
  const urgent = onTime.filter((_, count) => count % 2 === 0);
  const measures = {
    'percentage on time': (100 * urgent.filter(Boolean).length) / urgent.length,
    'number of pieces a call': seen.pieces / seen.calls,
    'number of time-outs': seen.timeouts,
    'number of distrusted calls': seen.distrusted,
  };
  return { doneAtMs, measures };
}

Given('{int} workers, with {}', function given(this: UnevenWorld, workers: number, name: string) {
  this.workers = workers;
  this.duration = MACHINES[name] ?? assert.fail(name);
});

When('{int} pieces a second are submitted', async function when(this: UnevenWorld, rate: number) {
  this.results = { without: await run(this, rate, false), with: await run(this, rate, true) };
});

Then(
  /^(with|without) figures the (.*) is ([<>]) ([\d.]+)$/,
  function then(this: UnevenWorld, figures: string, measure: string, sign: string, bound: string) {
    const found = this.results[figures]?.measures[measure] ?? Number.NaN;
    assert.ok(sign === '<' ? found < Number(bound) : found > Number(bound), `${found}`);
  },
);

Then(
  'each piece is done at the same time with and without figures',
  function then(this: UnevenWorld) {
    assert.deepEqual(this.results.with?.doneAtMs, this.results.without?.doneAtMs);
  },
);
