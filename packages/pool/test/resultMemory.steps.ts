import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { LIMITS, type QueueWorld, RESULT_BYTES, submit } from './queueWorld.js';

Given(
  'the worker takes {int} ms to free results',
  function given(this: QueueWorld, freeMs: number) {
    this.freeMs = freeMs;
  },
);

Given('the worker loses the responses to its calls', function given(this: QueueWorld) {
  this.losesResponses = true;
});

Given(
  'the worker keeps {int} results instead of 10',
  function given(this: QueueWorld, results: number) {
    this.resultsLeft = results;
  },
);

Then('the worker has memory left for {int} results', function then(this: QueueWorld, left: number) {
  const address = this.calls[0]?.zone === 'east' ? '10.0.0.1:1' : '10.0.0.1:2';
  const availableBytes = this.resultMemory.availableBytes({ address, limits: LIMITS, share: 1 });
  assert.equal(availableBytes / RESULT_BYTES, left);
});

When('the request that runs is cancelled', async function when(this: QueueWorld) {
  this.requestAborts[0]?.abort();
  await this.stageClock.advance({ byMs: 1 });
});

Then('its call was not closed', function then(this: QueueWorld) {
  assert.equal(this.closedCalls, 0);
});

Given('a worker without room for any result', function given(this: QueueWorld) {
  this.isWithoutRoom = true;
});

When(
  'a piece with a result of {int} byte(s) is submitted every {int} ms for {int} ms',
  async function when(this: QueueWorld, resultBytes: number, everyMs: number, forMs: number) {
    for (let atMs = 0; atMs < forMs; atMs += everyMs) {
      submit(this, { resultBytes });
      await this.stageClock.advance({ byMs: everyMs });
    }
  },
);

Then(
  'at most {int} calls found no memory for a result',
  function then(this: QueueWorld, calls: number) {
    assert.ok(this.fullCalls <= calls, `${this.fullCalls} calls`);
  },
);

Then('{int} call(s) found no memory for a result', function then(this: QueueWorld, calls: number) {
  assert.equal(this.fullCalls, calls);
});
