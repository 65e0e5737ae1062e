import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type BatchAnswer,
  comparePieces,
  type GivenUpEvent,
  makerOf,
  ResultRoom,
  SeenHandles,
  serveStageTarget,
  StageQueue,
  TargetSpeed,
} from '@galenatiller/pool';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type {
  BatchLimits,
  ListedTarget,
  PieceFailure,
  PieceResult,
  StagePiece,
} from '@galenatiller/types';

import { worker } from './stageWorker.js';

interface Call {
  readonly pieces: readonly StagePiece[];
  readonly zone: string;
  readonly answer: (answer: BatchAnswer) => void;
}

interface QueueWorld {
  stageClock: ManualClock;
  stageTimer: TimerService;
  stageQueue: StageQueue;
  room: ResultRoom;
  stop: AbortController;
  calls: Call[];
  taken: number;
  handles: number;
  requests: number;
  answers: (PieceFailure | 'repeat')[];
  firstAnswer: BatchAnswer | undefined;
  held: string[];
  hold: ReadonlySet<string>;
  outcomes: Promise<PieceResult>[];
  givers: AbortController[];
  givenUp: GivenUpEvent[];
}

const LIMITS: BatchLimits = {
  slots: 1,
  queueLength: 2,
  maxPieces: 7,
  callMs: 200,
  pieceMs: 20,
  resultRoomBytes: 1_000,
  resultTtlMs: 4_000,
};
const RESULT_BYTES = 100;
const CALL_MS = 300;

function startWorker(world: QueueWorld, zone: string): void {
  const target = worker(zone);
  serveStageTarget({
    timer: world.stageTimer,
    queue: world.stageQueue,
    target,
    limits: () => LIMITS,
    mayUse: () => true,
    room: world.room,
    roomShare: () => 1,
    speed: TargetSpeed.create(),
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
  target: ListedTarget,
  pieces: readonly StagePiece[],
): Promise<BatchAnswer> {
  let answer: (answer: BatchAnswer) => void = () => {};
  const ordered = new Promise<BatchAnswer>((resolve) => {
    answer = resolve;
  });
  world.calls.push({ pieces, zone: target.availabilityZone, answer });
  if (world.hold.has(target.availabilityZone)) {
    return ordered;
  }
  await world.stageTimer.sleep({ delayMs: CALL_MS });
  return make(world, target, pieces);
}

function make(world: QueueWorld, target: ListedTarget, pieces: readonly StagePiece[]): BatchAnswer {
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
  const made: BatchAnswer = { kind: 'answered', results };
  world.firstAnswer ??= made;
  return made;
}

function submit(world: QueueWorld, changes: Partial<StagePiece> = {}): void {
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

function newRequest(world: QueueWorld): void {
  world.requests += 1;
  world.givers.push(new AbortController());
}

Given(
  'a stage service whose workers take 7 pieces a call and hold 10 results',
  function given(this: QueueWorld) {
    this.stageClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.stageTimer = TimerService.create({ clock: this.stageClock });
    this.stop = new AbortController();
    this.calls = [];
    this.taken = 0;
    this.handles = 0;
    this.requests = 0;
    this.answers = [];
    this.firstAnswer = undefined;
    this.held = [];
    this.hold = new Set();
    this.outcomes = [];
    this.givers = [];
    this.givenUp = [];
    this.room = ResultRoom.create({
      timer: this.stageTimer,
      freeResults: () => Promise.resolve(),
      onRoom: () => this.stageQueue.roomChanged(),
    });
    this.stageQueue = StageQueue.create({
      timer: this.stageTimer,
      compare: comparePieces,
      inputZone: ({ inputs }) => (inputs.map(makerOf).includes('10.0.0.1:2') ? 'west' : ''),
      throughput: () => ({ piecesPerMs: LIMITS.maxPieces / CALL_MS, callMs: CALL_MS }),
      workerZones: () => new Set(['east', 'west']),
      onGivenUp: (event) => this.givenUp.push(event),
    });
    startWorker(this, 'east');
  },
);

After({ tags: '@stageQueue' }, function after(this: QueueWorld) {
  this.stop.abort();
});

Given('the only worker is busy', async function given(this: QueueWorld) {
  this.hold = new Set(['east']);
  newRequest(this);
  submit(this);
  await this.stageClock.advance({ byMs: 1 });
  assert.equal(this.calls.length, 1);
  this.taken = 1;
});

When('the worker is free again', async function when(this: QueueWorld) {
  this.hold = new Set();
  this.calls[0]?.answer(make(this, worker('east'), this.calls[0].pieces));
  await this.stageClock.advance({ byMs: 1 });
});

When(
  /^(\d+) requests? submits? (\d+) pieces?(?: each)?$/,
  async function when(this: QueueWorld, requests: string, pieces: string) {
    Array.from({ length: Number(requests) }).forEach(() => {
      newRequest(this);
      Array.from({ length: Number(pieces) }).forEach((_, piece) => submit(this, { piece }));
    });
    await this.stageClock.advance({ byMs: 1 });
  },
);

Then(/^the next call has (\d+) pieces?$/, async function then(this: QueueWorld, pieces: string) {
  await expectCall(this, Number(pieces), 2 * CALL_MS);
});

Then(
  'the next call has {int} pieces within {int} ms',
  async function then(this: QueueWorld, pieces: number, withinMs: number) {
    await expectCall(this, pieces, withinMs);
  },
);

async function expectCall(world: QueueWorld, pieces: number, withinMs: number): Promise<void> {
  for (let waitedMs = 0; world.calls.length <= world.taken && waitedMs < withinMs; waitedMs += 10) {
    await world.stageClock.advance({ byMs: 10 });
  }
  assert.equal(world.calls[world.taken]?.pieces.length, pieces);
  world.taken += 1;
}

Given('results fill the worker', function given(this: QueueWorld) {
  this.held = Array.from({ length: 10 }, (_, index) => `10.0.0.1:1/held${index}`);
  this.held.forEach((handle) => this.room.hold({ handle, bytes: RESULT_BYTES, limits: LIMITS }));
});

Then('no call is made within {int} ms', async function then(this: QueueWorld, withinMs: number) {
  await this.stageClock.advance({ byMs: withinMs });
  assert.equal(this.calls.length, 0);
});

When('the results are given up', function when(this: QueueWorld) {
  this.room.giveUp(this.held);
});

Given(
  /^the worker answers "([^"]+)" (\d+) times?$/,
  function given(this: QueueWorld, reason: PieceFailure, times: string) {
    this.answers = Array.from({ length: Number(times) }, () => reason);
  },
);

Given('the worker repeats its first answer once', function given(this: QueueWorld) {
  this.answers = ['repeat', 'repeat'];
});

async function outcomeOf(world: QueueWorld, index: number): Promise<PieceResult> {
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

Then('the piece is made in the end', async function then(this: QueueWorld) {
  assert.equal((await outcomeOf(this, 0)).kind, 'made');
});

Then('the piece fails as {string}', async function then(this: QueueWorld, reason: PieceFailure) {
  assert.deepEqual(await outcomeOf(this, 0), { kind: 'failed', reason });
});

Then('no two pieces have the same result', async function then(this: QueueWorld) {
  const handles = [await outcomeOf(this, 0), await outcomeOf(this, 1)].map((result) =>
    result.kind === 'made' ? result.handle : '',
  );
  assert.equal(new Set(handles).size, 2);
});

When('the first request is given up', async function when(this: QueueWorld) {
  this.givers[1]?.abort();
  await this.stageClock.advance({ byMs: 1 });
});

Then(
  "the first request's piece failed as {string}",
  async function then(this: QueueWorld, reason: PieceFailure) {
    assert.deepEqual(await outcomeOf(this, 1), { kind: 'failed', reason });
  },
);

Given(
  'idle workers in the zones {string} and {string}',
  async function given(this: QueueWorld, _first: string, second: string) {
    startWorker(this, second);
    await this.stageClock.advance({ byMs: 1 });
  },
);

Given('the worker in {string} is busy', async function given(this: QueueWorld, zone: string) {
  this.hold = new Set([zone]);
  newRequest(this);
  submit(this, { zoneHint: zone });
  await this.stageClock.advance({ byMs: 1 });
  assert.equal(this.calls[0]?.zone, zone);
});

When('a piece with inputs in "west" is submitted', async function when(this: QueueWorld) {
  newRequest(this);
  submit(this, { key: '', inputs: ['10.0.0.1:2/x'] });
  await this.stageClock.advance({ byMs: 1 });
});

Then('it is made in {string}', function then(this: QueueWorld, zone: string) {
  assert.equal(this.calls.at(-1)?.zone, zone);
});

When(
  /^a request that is (past due|not due yet) submits 7 pieces$/,
  function when(this: QueueWorld, due: string) {
    newRequest(this);
    const dueAtMs = this.stageTimer.nowMs() + (due === 'past due' ? -1 : 10_000);
    Array.from({ length: 7 }).forEach((_, piece) => {
      submit(this, { requestId: due, piece, dueAtMs });
    });
  },
);

Then('the next call is for the request that is not due yet', function then(this: QueueWorld) {
  assert.equal(this.calls[this.taken]?.pieces[0]?.requestId, 'not due yet');
});

When(
  /^(\d+|a) requests? that (?:is|are) wanted within (\d+) ms submits? (\d+) pieces(?: each)?$/,
  function when(this: QueueWorld, requests: string, withinMs: string, pieces: string) {
    const deadlineAtMs = this.stageTimer.nowMs() + Number(withinMs);
    Array.from({ length: requests === 'a' ? 1 : Number(requests) }).forEach(() => {
      newRequest(this);
      Array.from({ length: Number(pieces) }).forEach((_, piece) => {
        submit(this, { piece, deadlineAtMs, resultBytes: 1 });
      });
    });
  },
);

When('{int} ms pass', function when(this: QueueWorld, byMs: number) {
  return this.stageClock.advance({ byMs });
});

Then('1 request was given up', function then(this: QueueWorld) {
  assert.equal(this.givenUp.length, 1);
});

Then('its pieces failed as "busy", all others are made', async function then(this: QueueWorld) {
  this.hold = new Set();
  this.calls[0]?.answer(make(this, worker('east'), this.calls[0].pieces));
  for (let passedMs = 0; passedMs < 4 * CALL_MS; passedMs += 10) {
    await this.stageClock.advance({ byMs: 10 });
  }
  const results = await Promise.all(this.outcomes);
  const failed = results.flatMap((result) => (result.kind === 'failed' ? [result.reason] : []));
  assert.deepEqual(
    failed,
    Array.from({ length: this.givenUp[0]?.pieces ?? 0 }, () => 'busy'),
  );
});
