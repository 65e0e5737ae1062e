import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { type BatchResponse, ResultMemory } from '@galenatiller/pool';
import { TargetDirectory, TargetLoads, TargetNotices, toTargetStart } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type {
  PieceResult,
  RegisteredTarget,
  ServiceConfig,
  StagePiece,
  TargetNotice,
} from '@galenatiller/types';

import { ServiceShards } from '../src/ownership/index.js';
import { RouteTable } from '../src/routeTable.js';
import { StageWorkers } from '../src/stageWorkers.js';
import { CONFIGURATION, createTarget } from './support.js';

interface StageNoticeWorld {
  stageClock: ManualClock;
  stageTimer: TimerService;
  stageTargets: TargetDirectory;
  stageNotices: TargetNotices;
  stageWorkers: StageWorkers;
  stageMemory: ResultMemory;
  stopWorkers: () => void;
  batches: string[];
  frees: string[];
  results: PieceResult[];
  made: number;
  /** Kind of the first answer of a worker, and what it says about the worker. */
  firstAnswers: Map<string, { readonly kind: string; readonly notice: TargetNotice }>;
}

const SERVICE: ServiceConfig = {
  name: 'stage',
  maxColdRequestsPerSecond: 0,
  batch: {
    maxPieces: 2,
    callOverheadMs: 20,
    pieceMs: 10,
    resultMemoryBytes: 10_000,
    resultTtlMs: 4_000,
  },
};
const BATCH_MS = 40;

function createWorker(id: string): RegisteredTarget {
  return { ...createTarget(id), service: 'stage' };
}

function createPause(pauseMs: number): TargetNotice {
  return { isLeaving: false, pause: { text: String(pauseMs / 1_000), valuesMs: [pauseMs] } };
}

async function runPieces(
  world: StageNoticeWorld,
  target: RegisteredTarget,
  pieces: readonly StagePiece[],
): Promise<BatchResponse> {
  world.batches.push(target.id);
  await world.stageTimer.sleep({ delayMs: BATCH_MS });
  const answer = world.firstAnswers.get(target.id);
  world.firstAnswers.delete(target.id);
  if (answer?.kind === 'refused' || answer?.kind === 'broken') {
    return { kind: answer.kind, detail: 'scripted', notice: answer.notice };
  }
  const results = pieces.map((): PieceResult => {
    world.made += 1;
    return { kind: 'made', handle: `${target.address}/${world.made}` };
  });
  const isOther = answer?.kind === 'of other pieces';
  const discard = (): void => {};
  const response = { kind: 'answered' as const, results: isOther ? [] : results, discard };
  return answer ? { ...response, notice: answer.notice } : response;
}

Given('a stage service with the workers "a" and "b"', function given(this: StageNoticeWorld) {
  this.stageClock = ManualClock.create({ startWallMs: 1_000_000 });
  const timer = TimerService.create({ clock: this.stageClock });
  this.stageTimer = timer;
  this.batches = [];
  this.frees = [];
  this.results = [];
  this.made = 0;
  this.firstAnswers = new Map();
  this.stageTargets = TargetDirectory.create({ timer, onChange: () => {} });
  const notices = TargetNotices.create({
    timer,
    random: () => 0,
    share: () => {},
    onEvent: () => {},
  });
  this.stageNotices = notices;
  const routes = RouteTable.create();
  routes.update({ ...CONFIGURATION, services: [SERVICE] });
  this.stageMemory = ResultMemory.create({
    timer,
    freeResults: ({ address }) => {
      this.frees.push(address);
      return Promise.resolve();
    },
    pausedMs: (address) => notices.pausedAtAddressMs(address),
    onMemoryFreed: () => this.stageWorkers.notifyMemoryFreed(),
  });
  this.stageWorkers = StageWorkers.create({
    timer,
    routes,
    targets: this.stageTargets,
    notices,
    loads: TargetLoads.create({ timer, onEvent: () => {} }),
    isExcluded: () => false,
    resultMemory: this.stageMemory,
    shards: ServiceShards.create({ hash: () => 0, findLimits: () => undefined }),
    countSenders: () => 1,
    random: () => 0.5,
    runPieces: ({ target, pieces }) => runPieces(this, target, pieces),
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
  ['a', 'b'].forEach((id) =>
    this.stageTargets.put({ id, target: createWorker(id), storeRevision: 1 }),
  );
  this.stageWorkers.refresh();
  this.stopWorkers = () => {
    this.stageTargets.replaceAll([]);
    this.stageWorkers.refresh();
  };
});

After({ tags: '@router' }, function after(this: Partial<StageNoticeWorld>) {
  this.stopWorkers?.();
});

Given(
  'worker {string} says that it is leaving with a batch that is {string}',
  function given(this: StageNoticeWorld, id: string, kind: string) {
    this.firstAnswers.set(id, { kind, notice: { isLeaving: true } });
  },
);

Given(
  'worker {string} asks for a pause of {int} ms with a batch that is {string}',
  function given(this: StageNoticeWorld, id: string, pauseMs: number, kind: string) {
    this.firstAnswers.set(id, { kind, notice: createPause(pauseMs) });
  },
);

Given(
  'worker {string} states a load of {int} % with a batch that is {string}',
  function given(this: StageNoticeWorld, id: string, percent: number, kind: string) {
    const load = { running: 1, waiting: 0, relativeDuration: percent / 100 };
    this.firstAnswers.set(id, { kind, notice: { isLeaving: false, load } });
  },
);

Given(
  'another router says that worker {string} is leaving',
  function given(this: StageNoticeWorld, targetId: string) {
    const { start: targetStart } = toTargetStart(createWorker(targetId));
    this.stageNotices.mergeLeaving([{ targetId, targetStart, agoMs: 100 }]);
  },
);

Given(
  'both workers have asked for a pause of {int} ms',
  function given(this: StageNoticeWorld, pauseMs: number) {
    ['a', 'b'].forEach((id) =>
      this.stageNotices.record({
        target: toTargetStart(createWorker(id)),
        notice: createPause(pauseMs),
        source: 'stage-call',
      }),
    );
  },
);

function submit(world: StageNoticeWorld, limitMs: number): void {
  const nowMs = world.stageTimer.nowMs();
  const piece: StagePiece = {
    requestId: `request-${world.stageTimer.nowMs()}`,
    stage: 0,
    piece: 0,
    key: 'key',
    inputs: [],
    resultBytes: 10,
    zoneHint: '',
    inputsExpireAtMs: Infinity,
    zoneWaitUntilMs: 0,
    deadlineAtMs: nowMs + limitMs,
    dueAtMs: nowMs + limitMs,
    priority: 0,
  };
  const { signal } = new AbortController();
  world.stageWorkers.submit({ service: 'stage', shard: 'stage/0', piece, signal }).then(
    (result) => world.results.push(result ?? assert.fail('the piece was handed back')),
    (error: unknown) => {
      throw error;
    },
  );
}

When(
  '{int} pieces are submitted, one each {int} ms',
  async function when(this: StageNoticeWorld, pieces: number, eachMs: number) {
    for (let piece = 0; piece < pieces; piece += 1) {
      submit(this, 10_000);
      await this.stageClock.advance({ byMs: eachMs });
    }
  },
);

When(
  'a piece that has to be done in {int} ms is submitted',
  function when(this: StageNoticeWorld, limitMs: number) {
    submit(this, limitMs);
  },
);

When(
  'a result of worker {string} is freed',
  async function when(this: StageNoticeWorld, id: string) {
    this.stageMemory.free([`${createWorker(id).address}/handle`]);
    await this.stageClock.advance({ byMs: 100 });
  },
);

When('another {int} ms pass', async function when(this: StageNoticeWorld, byMs: number) {
  await this.stageClock.advance({ byMs });
});

Then(
  /^worker "([^"]*)" got (more than )?(\d+) (batch|batches|frees|free)$/,
  function then(
    this: StageNoticeWorld,
    id: string,
    more: string | undefined,
    expected: string,
    what: string,
  ) {
    const { address } = createWorker(id);
    const got = what.startsWith('batch')
      ? this.batches.filter((workerId) => workerId === id).length
      : this.frees.filter((freed) => freed === address).length;
    assert.ok(more ? got > Number(expected) : got === Number(expected), `${got} ${what}`);
  },
);

Then('all pieces were made', async function then(this: StageNoticeWorld) {
  await this.stageClock.advance({ byMs: 1_000 });
  assert.equal(this.results.length, 30);
  assert.ok(this.results.every(({ kind }) => kind === 'made'));
});

Then(
  'it fails as {string} within {int} ms',
  async function then(this: StageNoticeWorld, reason: string, byMs: number) {
    await this.stageClock.advance({ byMs });
    assert.deepEqual(this.results, [{ kind: 'failed', reason }]);
  },
);

Then('it is made within {int} ms', async function then(this: StageNoticeWorld, byMs: number) {
  await this.stageClock.advance({ byMs });
  assert.equal(this.results[0]?.kind, 'made');
});
