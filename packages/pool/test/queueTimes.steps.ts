import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { PieceFailure } from '@galenatiller/types';

import {
  CALL_MS,
  LIMITS,
  createResponse,
  newRequest,
  waitForResult,
  type QueueWorld,
  submit,
} from './queueWorld.js';
import { createWorker } from './stageWorker.js';

When(
  /^(\d+|a) requests? with a deadline in (\d+) ms submits? (\d+) pieces(?: each)?$/,
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

Then('1 request was abandoned', function then(this: QueueWorld) {
  assert.equal(this.abandoned.length, 1);
});

Then('its pieces failed as "busy", all others succeeded', async function then(this: QueueWorld) {
  this.blockedZones = new Set();
  this.calls[0]?.respond(createResponse(this, createWorker('east'), this.calls[0].pieces));
  for (let passedMs = 0; passedMs < 4 * CALL_MS; passedMs += 10) {
    await this.stageClock.advance({ byMs: 10 });
  }
  const results = await Promise.all(this.results);
  const failed = results.flatMap((result) => (result.kind === 'failed' ? [result.reason] : []));
  assert.deepEqual(
    failed,
    Array.from({ length: this.abandoned[0]?.pieces ?? 0 }, () => 'busy'),
  );
});

When(
  'a piece with inputs that expire after {int} ms is submitted',
  function when(this: QueueWorld, expireAfterMs: number) {
    newRequest(this);
    const inputsExpireAtMs = this.stageTimer.nowMs() + expireAfterMs;
    submit(this, { key: '', inputs: ['10.0.0.1:1/x'], inputsExpireAtMs });
  },
);

Then('it failed as {string}', async function then(this: QueueWorld, reason: PieceFailure) {
  const result = await waitForResult(this, this.results.length - 1);
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
  "results fill the worker's memory except for {int} bytes",
  function given(this: QueueWorld, leftBytes: number) {
    const bytes = LIMITS.resultMemoryBytes - leftBytes;
    this.resultMemory.add({ handle: '10.0.0.1:1/held', bytes, limits: LIMITS });
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
