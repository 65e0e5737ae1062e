import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { orderPieces, toWorkerAddress, ResultMemory, StageQueue } from '@galenatiller/pool';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { PieceFailure } from '@galenatiller/types';

import {
  CALL_MS,
  LIMITS,
  createResponse,
  newRequest,
  waitForResult,
  type QueueWorld,
  RESULT_BYTES,
  startWorker,
  submit,
} from './queueWorld.js';
import { createWorker } from './stageWorker.js';

Given(
  'a stage service whose workers take 7 pieces per call and keep 10 results',
  function given(this: QueueWorld) {
    this.stageClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.stageTimer = TimerService.create({ clock: this.stageClock });
    this.stop = new AbortController();
    this.calls = [];
    this.checkedCalls = 0;
    this.handles = 0;
    this.discards = 0;
    this.resultsLeft = Infinity;
    this.fullCalls = 0;
    this.isWithoutRoom = false;
    this.closedCalls = 0;
    this.losesResponses = false;
    this.freeMs = 0;
    this.requests = 0;
    this.scriptedFailures = [];
    this.firstResponse = undefined;
    this.storedHandles = [];
    this.blockedZones = new Set();
    this.results = [];
    this.requestAborts = [];
    this.abandoned = [];
    this.resultMemory = ResultMemory.create({
      timer: this.stageTimer,
      freeResults: () => this.stageTimer.sleep({ delayMs: this.freeMs }),
      pausedMs: () => 0,
      onMemoryFreed: () => this.stageQueue.wakeWorkers(),
    });
    this.stageQueue = StageQueue.create({
      timer: this.stageTimer,
      order: orderPieces,
      inputZone: ({ inputs }) => (inputs.map(toWorkerAddress).includes('10.0.0.1:2') ? 'west' : ''),
      throughput: () => ({ piecesPerMs: LIMITS.maxPieces / CALL_MS, callMs: CALL_MS, pausedMs: 0 }),
      workerZones: () => new Set(['east', 'west']),
      onStageAbandoned: (event) => this.abandoned.push(event),
    });
    startWorker(this, 'east');
  },
);

After({ tags: '@stageQueue' }, function after(this: QueueWorld) {
  this.stop.abort();
});

Given('the only worker is busy', async function given(this: QueueWorld) {
  this.blockedZones = new Set(['east']);
  newRequest(this);
  submit(this);
  await this.stageClock.advance({ byMs: 1 });
  assert.equal(this.calls.length, 1);
  this.checkedCalls = 1;
});

When('the worker is free again', async function when(this: QueueWorld) {
  this.blockedZones = new Set();
  this.calls[0]?.respond(createResponse(this, createWorker('east'), this.calls[0].pieces));
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
  for (
    let waitedMs = 0;
    world.calls.length <= world.checkedCalls && waitedMs < withinMs;
    waitedMs += 10
  ) {
    await world.stageClock.advance({ byMs: 10 });
  }
  assert.equal(world.calls[world.checkedCalls]?.pieces.length, pieces);
  world.checkedCalls += 1;
}

Given('results fill the memory of the worker', function given(this: QueueWorld) {
  this.storedHandles = Array.from({ length: 10 }, (_, index) => `10.0.0.1:1/held${index}`);
  this.storedHandles.forEach((handle) =>
    this.resultMemory.add({ handle, bytes: RESULT_BYTES, limits: LIMITS }),
  );
});

Then('no call is made within {int} ms', async function then(this: QueueWorld, withinMs: number) {
  await this.stageClock.advance({ byMs: withinMs });
  assert.equal(this.calls.length, 0);
});

When('the results are freed', function when(this: QueueWorld) {
  this.resultMemory.free(this.storedHandles);
});

Given(
  /^the worker responds with "([^"]+)" (\d+) times?$/,
  function given(this: QueueWorld, reason: PieceFailure, times: string) {
    this.scriptedFailures = Array.from({ length: Number(times) }, () => reason);
  },
);

Given('the worker repeats its first response once', function given(this: QueueWorld) {
  this.scriptedFailures = ['repeat', 'repeat'];
});

Then('the piece succeeds eventually', async function then(this: QueueWorld) {
  assert.equal((await waitForResult(this, 0)).kind, 'made');
});

Then('the piece fails as {string}', async function then(this: QueueWorld, reason: PieceFailure) {
  assert.deepEqual(await waitForResult(this, 0), { kind: 'failed', reason });
});

Then(
  '{int} connection was closed because of its response',
  function then(this: QueueWorld, discards: number) {
    assert.equal(this.discards, discards);
  },
);

Then('no two pieces have the same result', async function then(this: QueueWorld) {
  const handles = [await waitForResult(this, 0), await waitForResult(this, 1)].map((result) =>
    result.kind === 'made' ? result.handle : '',
  );
  assert.equal(new Set(handles).size, 2);
});

When('the first request is cancelled', async function when(this: QueueWorld) {
  // The request at index 0 is the one that keeps the worker busy.
  this.requestAborts[1]?.abort();
  await this.stageClock.advance({ byMs: 1 });
});

Then(
  "the first request's piece failed as {string}",
  async function then(this: QueueWorld, reason: PieceFailure) {
    assert.deepEqual(await waitForResult(this, 1), { kind: 'failed', reason });
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
  this.blockedZones = new Set([zone]);
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

Then('it runs in {string}', function then(this: QueueWorld, zone: string) {
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
  assert.equal(this.calls[this.checkedCalls]?.pieces[0]?.requestId, 'not due yet');
});
