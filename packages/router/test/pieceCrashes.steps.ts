import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { type BatchResponse, ResultMemory } from '@galenatiller/pool';
import { CrashSuspects, TargetDirectory } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import type { RegisteredTarget, StagePiece } from '@galenatiller/types';

import { CrashDetector } from '../src/crashDetector.js';
import { ServiceShards } from '../src/ownership/index.js';
import { createPieceSuspects } from '../src/pieceSuspects.js';
import type { RouterContext } from '../src/routerContext.js';
import { StageWorkers } from '../src/stageWorkers.js';
import { CONFIGURATION, createTarget, makeCall, type RouterWorld, startCall } from './support.js';

interface CrashWorld extends RouterWorld {
  readonly crashed: Set<string>;
  readonly callsByName: Map<string, RouterWorld['received']>;
  readonly nodes: { readonly context: RouterContext; readonly suspects: CrashSuspects }[];
  doesCrash: (piece: StagePiece) => boolean;
  batches: number;
  stopStages: () => void;
}

const LIMITS = {
  maxPieces: 8,
  callOverheadMs: 20,
  pieceMs: 5,
  resultMemoryBytes: 10_000,
  resultTtlMs: 4_000,
};
const BATCH_MS = 40;
const PIECES = { stagePieces: [2, 1] };

function createNode(world: CrashWorld): CrashWorld['nodes'][number] {
  const { routerTimer: timer, crashed } = world;
  const targets = TargetDirectory.create({ timer, onChange: () => {} });
  Array.from({ length: 8 }, (_, index) => ({
    ...createTarget(String.fromCharCode(97 + index)),
    service: 'stage',
  })).forEach((target) => targets.put({ id: target.id, target, storeRevision: 1 }));
  const crashSuspects = CrashSuspects.create({
    timer,
    share: (evidence) => world.nodes.forEach(({ suspects }) => suspects.merge(evidence)),
    onStopped: () => {},
  });
  const crashDetector = CrashDetector.create({
    probe: ({ address }) => Promise.resolve(crashed.has(address) ? 'refused' : 'connected'),
    mayProbe: () => true,
  });
  const resultMemory = ResultMemory.create({
    timer,
    freeResults: () => Promise.resolve(),
    pausedMs: () => 0,
    onMemoryFreed: () => {},
  });
  const workers = StageWorkers.create({
    ...world.context,
    targets,
    isExcluded: (target) => crashed.has(target.address),
    resultMemory,
    shards: ServiceShards.create({ hash: () => 0, findLimits: () => undefined }),
    countSenders: () => 1,
    suspects: createPieceSuspects({ crashSuspects, crashDetector }),
    runPieces: ({ target, pieces }) => runPieces(world, target, pieces),
    onBatch: () => {},
    onStageAbandoned: () => {},
    onDelayedTaken: () => {},
    onUneven: () => {},
    tasks: TaskGroup.create({
      onFailure: (error) => {
        throw error;
      },
    }),
  });
  workers.refresh();
  world.stopStages = () => {
    targets.replaceAll([]);
    workers.refresh();
  };
  const submitPiece: RouterContext['submitPiece'] = async (opts) =>
    (await workers.submit({ ...opts, shard: 'stage' })) ?? { kind: 'failed', reason: 'late' };
  return {
    suspects: crashSuspects,
    context: { ...world.context, crashSuspects, crashDetector, submitPiece },
  };
}

async function runPieces(
  world: CrashWorld,
  { address }: RegisteredTarget,
  pieces: readonly StagePiece[],
): Promise<BatchResponse> {
  world.batches += 1;
  await world.routerTimer.sleep({ delayMs: BATCH_MS });
  if (pieces.some(world.doesCrash)) {
    world.crashed.add(address);
    return { kind: 'broken', detail: 'reset' };
  }
  const results = pieces.map(({ requestId, stage, piece }) => ({
    kind: 'made' as const,
    handle: `${address}/${requestId}-${stage}-${piece}`,
  }));
  return { kind: 'answered', results, discard: () => {} };
}

Given('8 stage workers of two routers', function given(this: CrashWorld) {
  this.routes.update({
    ...CONFIGURATION,
    version: CONFIGURATION.version + 1,
    services: [{ name: 'stage', maxColdRequestsPerSecond: 0, batch: LIMITS }],
  });
  const nodes: CrashWorld['nodes'] = [];
  Object.assign(this, { crashed: new Set(), callsByName: new Map(), nodes });
  this.doesCrash = () => false;
  this.batches = 0;
  nodes.push(createNode(this), createNode(this));
});

After({ tags: '@router' }, function after(this: Partial<CrashWorld>) {
  this.stopStages?.();
});

Given(
  'the workers crash when they begin a piece of stage {int} of the call {string}',
  function given(this: CrashWorld, stage: number, name: string) {
    this.doesCrash = (piece) =>
      piece.requestId === name && piece.stage === stage && piece.piece === 0;
  },
);

Given('the next 2 workers crash whatever they begin', function given(this: CrashWorld) {
  this.doesCrash = () => this.crashed.size < 2;
});

When('the calls {string} are made at once', async function when(this: CrashWorld, names: string) {
  this.context = this.nodes[0]?.context ?? this.context;
  names.split(',').forEach((name) => {
    startCall(this, { path: `/staged/${name}`, requestId: name, ...PIECES });
    this.callsByName.set(name, this.received);
  });
  await this.routerClock.advance({ byMs: 800 });
});

When(
  'the call {string} is made again at the other router',
  async function when(this: CrashWorld, name: string) {
    this.context = this.nodes[1]?.context ?? this.context;
    this.batches = 0;
    await makeCall(this, { path: `/staged/${name}`, requestId: name, ...PIECES });
    this.callsByName.set(name, this.received);
  },
);

Then('none of its pieces is run', function then(this: CrashWorld) {
  assert.equal(this.batches, 0);
});

Then('{int} workers have crashed', function then(this: CrashWorld, workers: number) {
  assert.equal(this.crashed.size, workers);
});

Then(
  'the call {string} is refused as {string}',
  function then(this: CrashWorld, name: string, code: string) {
    assert.equal(this.callsByName.get(name)?.refusal?.codeName, code);
  },
);

Then('the calls {string} are served', function then(this: CrashWorld, names: string) {
  names.split(',').forEach((name) => {
    const received = this.callsByName.get(name);
    assert.equal(received?.head?.status, 200, `${name}: ${received?.refusal?.detail}`);
  });
});

Then('no piece is a suspect', function then(this: CrashWorld) {
  this.nodes.forEach(({ suspects }) => assert.deepEqual(suspects.currentCrashes(), []));
});
