import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { PieceFailure } from '@galenatiller/types';

import {
  CALL_MS,
  LIMITS,
  make,
  newRequest,
  outcomeOf,
  type QueueWorld,
  submit,
} from './queueWorld.js';
import { worker } from './stageWorker.js';

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

When(
  'a piece with inputs that stay for {int} ms is submitted',
  function when(this: QueueWorld, stayMs: number) {
    newRequest(this);
    const inputsExpireAtMs = this.stageTimer.nowMs() + stayMs;
    submit(this, { key: '', inputs: ['10.0.0.1:1/x'], inputsExpireAtMs });
  },
);

Then('it failed as {string}', async function then(this: QueueWorld, reason: PieceFailure) {
  const result = await outcomeOf(this, this.outcomes.length - 1);
  assert.deepEqual(result, { kind: 'failed', reason });
});

When(
  'a piece for {string} is submitted that may wait {int} ms',
  function when(this: QueueWorld, zoneHint: string, waitMs: number) {
    newRequest(this);
    submit(this, { zoneHint, zoneWaitUntilMs: this.stageTimer.nowMs() + waitMs });
  },
);

Then('no worker was called for it', function then(this: QueueWorld) {
  assert.equal(this.calls.length, 1);
});

Given(
  "results fill all of the worker's room but for {int} bytes",
  function given(this: QueueWorld, leftBytes: number) {
    const bytes = LIMITS.resultMemoryBytes - leftBytes;
    this.room.add({ handle: '10.0.0.1:1/held', bytes, limits: LIMITS });
  },
);

When(
  'a request submits pieces with results of {int} and {int} bytes',
  async function when(this: QueueWorld, first: number, second: number) {
    newRequest(this);
    submit(this, { piece: 0, resultBytes: first });
    submit(this, { piece: 1, resultBytes: second });
    await this.stageClock.advance({ byMs: 1 });
  },
);

Then('its result has {int} bytes', function then(this: QueueWorld, bytes: number) {
  assert.equal(this.calls.at(-1)?.pieces[0]?.resultBytes, bytes);
});
