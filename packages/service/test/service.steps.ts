import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import {
  createFakeService,
  computeExpectedReceipt,
  type FakeService,
  createSampleStageRequest,
} from '@galenatiller/fakes';
import { runServiceCall } from '@galenatiller/service';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { JsonValue, StageResult } from '@galenatiller/types';
import type { Result } from 'true-myth';

interface ServiceWorld {
  fakeService: FakeService;
  serviceResult: Result<StageResult, GalenatillerError>;
}

Given('a fake service', async function given(this: ServiceWorld) {
  this.fakeService = await createFakeService({
    timer: TimerService.create({ clock: systemClock }),
    port: 0,
    seed: 1,
    restartMs: 1,
    version: 'v1',
    serviceMs: 1,
    concurrency: 2,
  });
});

After({ tags: '@service' }, function after(this: Partial<ServiceWorld>) {
  return this.fakeService?.close();
});

Given('the responses of the service are lost', function given(this: ServiceWorld) {
  this.fakeService.faults.apply({ kind: 'lose-answer', share: 1 });
});

Given('the service refuses', function given(this: ServiceWorld) {
  this.fakeService.faults.apply({ kind: 'refuse', on: true });
});

When(
  'the service is called with key {string} and body {string}',
  async function when(this: ServiceWorld, runKey: string, body: string) {
    const order = createSampleStageRequest({ kind: 'call', body: JSON.parse(body) as JsonValue });
    this.serviceResult = await runServiceCall({
      url: this.fakeService.url,
      order: { ...order, idempotent: false, runKey },
      signal: new AbortController().signal,
    });
  },
);

Then(
  'the service responds with the receipt of key {string} and body {string}',
  function then(this: ServiceWorld, runKey: string, body: string) {
    assert.deepEqual(this.serviceResult.unwrapOr(undefined), {
      kind: 'call',
      status: 200,
      body: { receipt: computeExpectedReceipt(runKey, body) },
    });
  },
);

Then(
  'the service call fails as {string} with outcome {string}',
  function then(this: ServiceWorld, codeName: string, outcome: string) {
    assert.ok(this.serviceResult.isErr);
    assert.equal(this.serviceResult.error.codeName, codeName);
    assert.equal(this.serviceResult.error.outcome, outcome);
  },
);

Then(
  'the service has the effects of keys {string}',
  function then(this: ServiceWorld, keys: string) {
    assert.equal(this.fakeService.effects.map(({ runKey }) => runKey).join(), keys);
  },
);
