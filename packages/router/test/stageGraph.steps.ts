import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { BatchLimits, RouteConfig, RoutedCall } from '@galenatiller/types';
import fc from 'fast-check';

import { estimateCall } from '../src/admission/estimateCall.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
  estimateStagesLeftMs,
  estimateStageTimes,
} from '../src/computeStageDeadlines.js';
import { computeStartDelayMs } from '../src/computeStartDelay.js';
import { runStages } from '../src/runStages.js';
import { BASE_ROUTE, CALL } from './support.js';

/** For each stage, the stages that it depends on, and its number of pieces. */
interface StageGraph {
  readonly dependsOn: readonly (readonly number[])[];
  readonly pieces: readonly number[];
}

/** What happened while the stages of a graph ran. */
interface GraphRun {
  readonly graph: StageGraph;
  readonly inputs: Map<string, readonly string[]>;
  readonly callInputs: readonly string[];
  /** Results that were given to a piece, or to the call, after they had been freed. */
  readonly usedAfterFree: readonly string[];
}

interface GraphWorld {
  runs: GraphRun[];
}

const SEED = 20_261_207;
const MAX_STAGES = 6;
const MAX_PIECES = 3;

function listResults({ pieces }: StageGraph, stages: readonly number[]): readonly string[] {
  return stages.flatMap((stage) =>
    Array.from({ length: pieces[stage] ?? 0 }, (_, piece) => `${stage}-${piece}`),
  );
}

function createRoute({ dependsOn }: StageGraph): RouteConfig {
  return {
    ...BASE_ROUTE,
    stages: dependsOn.map((stages, position) => ({
      service: `service-${position}`,
      dependsOn: stages,
      resultBytes: 1,
    })),
  };
}

async function runGraph(graph: StageGraph): Promise<GraphRun> {
  const inputs = new Map<string, readonly string[]>();
  const freed = new Set<string>();
  const usedAfterFree: string[] = [];
  const use = (handles: readonly string[]): void => {
    usedAfterFree.push(...handles.filter((handle) => freed.has(handle)));
  };
  const done = await runStages({
    route: createRoute(graph),
    call: { ...CALL, stagePieces: graph.pieces },
    content: '',
    priority: 0,
    zoneHint: '',
    deadlinesAtMs: [],
    dueAtMs: 0,
    urgencies: [],
    zoneWaitsUntilMs: [],
    nowMs: () => 0,
    resultTtlMs: () => 1,
    submit: async ({ piece, onBegun }) => {
      const handle = `${piece.stage}-${piece.piece}`;
      assert.ok(!inputs.has(handle), `${handle} ran twice`);
      inputs.set(handle, piece.inputs);
      use(piece.inputs);
      await new Promise(setImmediate);
      onBegun?.();
      await new Promise(setImmediate);
      return { kind: 'made', handle };
    },
    decideStart: () => 'start',
    startDelayMs: () => 0,
    onStageHeld: () => {},
    sleep: () => Promise.resolve(),
    onStageStarted: () => {},
    onStageDone: () => {},
    free: (results) => results.forEach(({ handle }) => freed.add(handle)),
    signal: new AbortController().signal,
  });
  assert.equal(done.kind, 'done');
  const callInputs = done.kind === 'done' ? done.inputs.map(({ handle }) => handle) : [];
  use(callInputs);
  return { graph, inputs, callInputs, usedAfterFree };
}

When(
  /^the stages (\[.*\]) with (\[.*\]) pieces run$/,
  async function when(this: GraphWorld, dependsOn: string, pieces: string) {
    const graph = { dependsOn: JSON.parse(dependsOn), pieces: JSON.parse(pieces) } as StageGraph;
    this.runs = [await runGraph(graph)];
  },
);

/** A graph without cycles whose stages stand after those that they depend on. */
const orderedGraph: fc.Arbitrary<StageGraph> = fc
  .integer({ min: 1, max: MAX_STAGES })
  .chain((stages) =>
    fc.record({
      dependsOn: fc.tuple(
        ...Array.from({ length: stages }, (_, position) =>
          fc.subarray(Array.from({ length: position }, (__, earlier) => earlier)),
        ),
      ),
      pieces: fc.array(fc.nat(MAX_PIECES), { minLength: stages, maxLength: stages }),
    }),
  );

/** A graph and, for each of its stages, another number. */
const renumberedGraph = orderedGraph.chain((graph) =>
  fc.record({
    graph: fc.constant(graph),
    numbers: fc.shuffledSubarray(
      graph.pieces.map((_, position) => position),
      { minLength: graph.pieces.length },
    ),
  }),
);

function renumber(graph: StageGraph, numbers: readonly number[]): StageGraph {
  const dependsOn: number[][] = [];
  const pieces: number[] = [];
  numbers.forEach((number, position) => {
    dependsOn[number] = (graph.dependsOn[position] ?? []).map((stage) => numbers[stage] ?? -1);
    pieces[number] = graph.pieces[position] ?? 0;
  });
  return { dependsOn, pieces };
}

When('{int} random graphs of stages run', async function when(this: GraphWorld, graphs: number) {
  const sample = fc.sample(renumberedGraph, { numRuns: graphs, seed: SEED });
  this.runs = await Promise.all(
    sample.map(({ graph, numbers }) => runGraph(renumber(graph, numbers))),
  );
});

Then(
  'each piece got the results of all pieces of the stages that its own depends on',
  function then(this: GraphWorld) {
    this.runs.forEach(({ graph, inputs }) => {
      graph.dependsOn.forEach((dependsOn, stage) => {
        listResults(graph, [stage]).forEach((piece) => {
          const expected = [...listResults(graph, dependsOn)].sort();
          const given = [...(inputs.get(piece) ?? assert.fail(`${piece} did not run`))].sort();
          assert.deepEqual(given, expected, `${piece} of ${JSON.stringify(graph)}`);
        });
      });
    });
  },
);

Then(
  'the call gets the results of the stages that no other depends on',
  function then(this: GraphWorld) {
    this.runs.forEach(({ graph, callInputs }) => {
      const used = new Set(graph.dependsOn.flat());
      const last = graph.dependsOn.flatMap((_, stage) => (used.has(stage) ? [] : [stage]));
      assert.deepEqual([...callInputs].sort(), [...listResults(graph, last)].sort());
    });
  },
);

Then('no result is freed before its last use', function then(this: GraphWorld) {
  this.runs.forEach(({ graph, usedAfterFree }) => {
    assert.deepEqual(usedAfterFree, [], JSON.stringify(graph));
  });
});

const RESPOND_BY_MS = 10_000;
const RESPONSE_MS = 300;

/** Limits that differ between the stages of a graph. */
function createLimits(stage: number): BatchLimits {
  return {
    maxPieces: 2,
    callOverheadMs: 100 + 40 * stage,
    pieceMs: 10 + stage,
    resultMemoryBytes: 1,
    resultTtlMs: 1_000,
  };
}

/** Times of the stages of a call, by position, and of the whole call. */
function computeTimes(
  graph: StageGraph,
  originalOf: (position: number) => number,
): {
  readonly byStage: readonly (readonly (readonly number[])[])[];
  readonly ofCall: readonly number[];
} {
  const route = createRoute(graph);
  const call: RoutedCall = { ...CALL, stagePieces: graph.pieces };
  const findStage = (service: string): number => originalOf(Number(service.split('-')[1]));
  const findLimits = (service: string): BatchLimits => createLimits(findStage(service));
  const opts = { route, call, findLimits, respondByMs: RESPOND_BY_MS, responseMs: RESPONSE_MS };
  const usualMs = (position: number): number => 70 * originalOf(position);
  const isDone = (): boolean => false;
  const runningMs = (): number => 0;
  const startDelays = graph.pieces.map((_, position) =>
    computeStartDelayMs({
      ...opts,
      position,
      stageProgress: { isDone, runningMs },
      stageTimes: {
        usualMs: ({ position: stage }) => usualMs(stage),
        longMs: ({ position: stage }) => usualMs(stage),
      },
      nowMs: 0,
    }),
  );
  const latestStarts = computeStageUrgencies({ ...opts, organisation: '' }).map(
    ({ latestStartAtMs }) => latestStartAtMs,
  );
  const { neededMs, unloadedMs } = estimateCall({
    route,
    priority: 0,
    stagesMs: estimateStageTimes(opts),
    responseMs: RESPONSE_MS,
    fastResponseMs: RESPONSE_MS,
    findWaits: (service) => [[{ priority: 0, waitMs: 30 * findStage(service), oldestMs: 0 }]],
  });
  const pieceMs = (service: string): number => 70 * findStage(service);
  const leftMs = estimateStagesLeftMs({ ...opts, isDone, runningMs, pieceMs });
  const byStage = [
    computeStageDeadlines(opts),
    computeZoneWaitLimits(opts),
    latestStarts,
    startDelays,
  ].map((times) => times.map((time) => [time]));
  return { byStage, ofCall: [neededMs, unloadedMs, leftMs] };
}

Then('{int} random graphs have the same times after each was numbered anew', (graphs: number) => {
  fc.sample(renumberedGraph, { numRuns: graphs, seed: SEED }).forEach(({ graph, numbers }) => {
    const before = computeTimes(graph, (position) => position);
    const after = computeTimes(renumber(graph, numbers), (position) => numbers.indexOf(position));
    const numberedBack = after.byStage.map((times) => numbers.map((number) => times[number]));
    const message = JSON.stringify({ graph, numbers });
    assert.deepEqual(numberedBack, before.byStage, message);
    assert.deepEqual(after.ofCall, before.ofCall, message);
  });
});

Then('the stages of a reversed chain have the times of the chain', () => {
  const chain = { dependsOn: [[], [0], [1]], pieces: [1, 2, 3] };
  const reversed = { dependsOn: [[1], [2], []], pieces: [3, 2, 1] };
  const computeUrgencies = (graph: StageGraph): unknown =>
    computeStageUrgencies({
      route: createRoute(graph),
      call: { ...CALL, stagePieces: graph.pieces },
      findLimits: () => createLimits(0),
      respondByMs: RESPOND_BY_MS,
      responseMs: RESPONSE_MS,
      organisation: '',
    });
  const expected = computeUrgencies(chain) as readonly unknown[];
  assert.deepEqual(computeUrgencies(reversed), [...expected].reverse());
});
