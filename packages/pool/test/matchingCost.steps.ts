import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { orderPieces, StageQueue } from '@galenatiller/pool';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { LIMITS, newRequest, type QueueWorld, RESULT_BYTES, submit } from './queueWorld.js';
import { createWorker } from './stageWorker.js';

interface CostWorld extends QueueWorld {
  zoneLookups: number;
  memoryReads: number;
}

Given(
  '{int} idle workers without memory, and {int} waiting pieces that prefer a zone',
  async function given(this: CostWorld, workers: number, waiting: number) {
    this.stageClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.stageTimer = TimerService.create({ clock: this.stageClock });
    this.stop = new AbortController();
    this.results = [];
    this.requests = 0;
    this.requestAborts = [];
    this.stageQueue = StageQueue.create({
      timer: this.stageTimer,
      order: orderPieces,
      inputZone: () => {
        this.zoneLookups += 1;
        return 'west';
      },
      throughput: () => ({ piecesPerMs: 1, callMs: 1, pausedMs: 0 }),
      workerZones: () => new Set(['east', 'west']),
      onStageAbandoned: () => {},
    });
    Array.from({ length: workers }, (_, index) => (index % 2 === 0 ? 'east' : 'west')).forEach(
      (zone) => startIdleWorker(this, zone),
    );
    Array.from({ length: waiting }).forEach(() => {
      newRequest(this);
      submit(this);
    });
    await this.stageClock.advance({ byMs: 1 });
  },
);

After({ tags: '@stageQueue' }, function after(this: CostWorld) {
  this.stop.abort();
});

When('one more piece is submitted', async function when(this: CostWorld) {
  this.zoneLookups = 0;
  this.memoryReads = 0;
  newRequest(this);
  submit(this);
  await this.stageClock.advance({ byMs: 1 });
});

Then('its zone was looked up once', function then(this: CostWorld) {
  assert.equal(this.zoneLookups, 1);
});

Then(
  'the memory of the workers was read at most {int} times',
  function then(this: CostWorld, times: number) {
    assert.ok(this.memoryReads <= times, `${this.memoryReads} reads`);
  },
);

function startIdleWorker(world: CostWorld, zone: string): void {
  world.stageQueue
    .take({
      target: createWorker(zone),
      limits: LIMITS,
      availableBytes: () => {
        world.memoryReads += 1;
        return RESULT_BYTES - 1;
      },
      minWaitMs: 0,
      signal: world.stop.signal,
    })
    .catch((error: unknown) => {
      throw error;
    });
}
