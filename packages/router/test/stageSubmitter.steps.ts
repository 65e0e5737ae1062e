import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ResultMemory } from '@galenatiller/pool';
import type { PeerRouter } from '@galenatiller/routerLink';
import { TargetDirectory, TargetLoads } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { PieceResult, StagePiece } from '@galenatiller/types';

import { RouteTable } from '../src/routeTable.js';
import { ServiceShards, StageSubmitter } from '../src/ownership/index.js';
import { StageWorkers } from '../src/stageWorkers.js';
import { CONFIGURATION, createSilentNotices } from './support.js';

interface SubmitterWorld {
  submitterClock: ManualClock;
  serviceOwner: string;
  stageWorkers: StageWorkers;
  submitter: StageSubmitter;
  piecesAtPeer: ((result: PieceResult | undefined) => void)[];
  freedAtPeer: string[];
  pieceResults: Promise<PieceResult>[];
  isPeerOpen: boolean;
  isPeerSlow: boolean;
  /** Whether this router has CPU time for more pieces. */
  hasCpuTime: boolean;
}

const CALL_MS = 200;
const SERVICE = 'stage';
const SHARD = 'stage/0';
const LIMITS = {
  maxPieces: 1,
  callOverheadMs: CALL_MS,
  pieceMs: 1,
  resultMemoryBytes: 1_000_000,
  resultTtlMs: 60_000,
};

Given(
  'a router that owns a stage service with one worker, and a peer',
  async function given(this: SubmitterWorld) {
    this.submitterClock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock: this.submitterClock });
    this.serviceOwner = 'self';
    this.isPeerOpen = true;
    this.isPeerSlow = false;
    this.hasCpuTime = true;
    this.piecesAtPeer = [];
    this.freedAtPeer = [];
    this.pieceResults = [];
    const targets = TargetDirectory.create({ timer, onChange: () => {} });
    targets.put({ id: 'worker', target: createWorker(), storeRevision: 1 });
    const routes = RouteTable.create();
    routes.update({
      ...CONFIGURATION,
      services: [{ name: SERVICE, maxColdRequestsPerSecond: 0, batch: LIMITS }],
    });
    const resultMemory = ResultMemory.create({
      timer,
      freeResults: () => Promise.resolve(),
      pausedMs: () => 0,
      onMemoryFreed: () => {},
    });
    let made = 0;
    this.stageWorkers = StageWorkers.create({
      timer,
      routes,
      targets,
      notices: createSilentNotices(timer),
      loads: TargetLoads.create({ timer, onEvent: () => {} }),
      resultMemory,
      isExcluded: () => false,
      shards: ServiceShards.create({ hash: () => 0, findLimits: () => LIMITS }),
      countSenders: () => 1,
      random: () => 0.5,
      runPieces: async ({ pieces }) => {
        await timer.sleep({ delayMs: CALL_MS });
        const results = pieces.map((): PieceResult => {
          made += 1;
          return { kind: 'made', handle: `10.0.0.1:1/self-${made}` };
        });
        return { kind: 'answered', results, discard: () => {} };
      },
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
    this.stageWorkers.refresh();
    this.submitter = StageSubmitter.create({
      timer,
      selfName: 'self',
      owners: {
        findCandidates: () => [this.serviceOwner, this.serviceOwner === 'self' ? 'peer' : 'self'],
      },
      peers: {
        find: (name) => (name === 'peer' ? createPeer(this) : undefined),
        isIsolated: () => !this.isPeerOpen,
      },
      chooseShard: () => SHARD,
      canAcceptLocally: () => this.hasCpuTime,
      submitLocally: (submitted) => this.stageWorkers.submit(submitted),
      resultMemory,
    });
    await this.submitterClock.advance({ byMs: 1 });
  },
);

When(
  /^2 pieces for one worker are submitted( by the peer)?, and the peer becomes the owner$/,
  async function when(this: SubmitterWorld, byPeer: string | null) {
    this.pieceResults = [0, 1].map((piece) =>
      byPeer === null
        ? this.submitter.submit(createOrder(piece))
        : this.submitter.submitForPeer({ ...createOrder(piece), shard: SHARD }),
    );
    await this.submitterClock.advance({ byMs: 10 });
    this.serviceOwner = 'peer';
    this.stageWorkers.handBack(() => true);
    await this.submitterClock.advance({ byMs: 10 });
  },
);

When(
  'a piece is submitted while the peer is the owner, and the link to the peer is lost',
  async function when(this: SubmitterWorld) {
    this.serviceOwner = 'peer';
    this.pieceResults = [this.submitter.submit(createOrder(0))];
    await this.submitterClock.advance({ byMs: 10 });
    this.isPeerOpen = false;
    this.piecesAtPeer.splice(0).forEach((settle) => settle(undefined));
  },
);

When('the caller of the pieces frees the results', async function when(this: SubmitterWorld) {
  const handles = await endPieces(this);
  this.submitter.free(handles);
});

Then('the peer gets 1 piece, and the worker ends the other', function then(this: SubmitterWorld) {
  assert.equal(this.piecesAtPeer.length, 1);
  assert.equal(this.stageWorkers.batchesInProgress, 1);
});

Then('each piece has the result of where it ran', async function then(this: SubmitterWorld) {
  assert.deepEqual(await endPieces(this), ['10.0.0.1:1/self-1', '10.0.0.1:1/peer']);
});

Then('the peer frees its result', function then(this: SubmitterWorld) {
  assert.deepEqual(this.freedAtPeer, ['10.0.0.1:1/peer']);
});

Then('the worker ends the piece', async function then(this: SubmitterWorld) {
  assert.deepEqual(await endPieces(this), ['10.0.0.1:1/self-1']);
});

Given('the router has no CPU time for more pieces', function given(this: SubmitterWorld) {
  this.hasCpuTime = false;
});

Given('the peer accepts no pieces', function given(this: SubmitterWorld) {
  this.isPeerSlow = true;
});

Given("the peer can't be reached", function given(this: SubmitterWorld) {
  this.isPeerOpen = false;
});

When('a piece is submitted', async function when(this: SubmitterWorld) {
  this.pieceResults = [this.submitter.submit(createOrder(0))];
  await this.submitterClock.advance({ byMs: 10 });
});

Then('the peer gets 1 piece and the workers none', function then(this: SubmitterWorld) {
  assert.equal(this.piecesAtPeer.length, 1);
  assert.equal(this.stageWorkers.piecesInProgress, 0);
});

Then(
  'it fails as {string} after {int} to {int} ms',
  async function then(this: SubmitterWorld, reason: string, minMs: number, maxMs: number) {
    let result: PieceResult | undefined;
    this.pieceResults[0]?.then((settled) => {
      result = settled;
    }, assert.ifError);
    await this.submitterClock.advance({ byMs: minMs - 11 });
    assert.equal(result, undefined);
    await this.submitterClock.advance({ byMs: maxMs - minMs });
    assert.deepEqual(result, { kind: 'failed', reason });
    assert.equal(this.stageWorkers.piecesInProgress, 0);
  },
);

Then(
  'the workers get it after {int} to {int} ms',
  async function then(this: SubmitterWorld, minMs: number, maxMs: number) {
    await this.submitterClock.advance({ byMs: minMs - 11 });
    assert.equal(this.stageWorkers.piecesInProgress, 0);
    await this.submitterClock.advance({ byMs: maxMs - minMs });
    assert.equal(this.stageWorkers.piecesInProgress, 1);
  },
);

/** Lets the pieces end, and returns their handles. */
async function endPieces(world: SubmitterWorld): Promise<readonly string[]> {
  world.piecesAtPeer.forEach((settle) => settle({ kind: 'made', handle: '10.0.0.1:1/peer' }));
  await world.submitterClock.advance({ byMs: 2 * CALL_MS });
  const results = await Promise.all(world.pieceResults);
  return results.map((result) => (result.kind === 'made' ? result.handle : result.reason));
}

function createPeer(world: SubmitterWorld): PeerRouter {
  const peer: Pick<PeerRouter, 'isOpen' | 'canAccept' | 'submitPiece' | 'free'> = {
    isOpen: world.isPeerOpen,
    canAccept: world.isPeerOpen && !world.isPeerSlow,
    submitPiece: () =>
      new Promise((resolve) => {
        world.piecesAtPeer.push(resolve);
      }),
    free: (handles) => {
      world.freedAtPeer.push(...handles);
      return true;
    },
  };
  return peer as PeerRouter;
}

function createWorker(): Parameters<TargetDirectory['put']>[0]['target'] {
  return {
    id: 'worker',
    startedWallMs: 1,
    service: SERVICE,
    address: '10.0.0.1:1',
    availabilityZone: 'zone',
    version: 'v1',
    slots: 1,
    state: 'ready',
  };
}

function createOrder(piece: number): {
  readonly service: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
} {
  return {
    service: SERVICE,
    signal: new AbortController().signal,
    piece: {
      requestId: 'request',
      stage: 0,
      piece,
      key: 'key',
      inputs: [],
      inputsExpireAtMs: Infinity,
      resultBytes: 10,
      zoneHint: '',
      deadlineAtMs: 60_000,
      dueAtMs: 60_000,
      zoneWaitUntilMs: 0,
      priority: 0,
    },
  };
}
