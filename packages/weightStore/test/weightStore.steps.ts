import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import { createFakeWeightStore, type FakeWeightStore } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';
import { TokenBucket, type WeightManifest, WeightStoreClient } from '@galenatiller/weightStore';
import fc from 'fast-check';
import type { Result } from 'true-myth';

interface WeightWorld {
  weightClock: ManualClock;
  weightTimer: TimerService;
  bucket: TokenBucket;
  grantedAtMs: number[];
  fakeWeightStore: FakeWeightStore;
  weightStore: WeightStoreClient;
  manifests: Result<WeightManifest, GalenatillerError>[];
}

const { signal } = new AbortController();

Given(
  'a token bucket with {int} tokens per second and a burst of {int}',
  function given(this: WeightWorld, ratePerSecond: number, burst: number) {
    useManualClock(this);
    this.bucket = TokenBucket.create({ timer: this.weightTimer, ratePerSecond, burst });
    this.grantedAtMs = [];
  },
);

Given(
  'a fake weight store that answers {int} calls per second',
  async function given(this: WeightWorld, callsPerSecond: number) {
    useManualClock(this);
    this.fakeWeightStore = await createFakeWeightStore({
      timer: this.weightTimer,
      port: 0,
      callsPerSecond,
    });
  },
);

Given(
  'a weight store client with {int} calls per second',
  function given(this: WeightWorld, ratePerSecond: number) {
    const { url } = this.fakeWeightStore;
    this.weightStore = WeightStoreClient.create({
      url,
      timer: this.weightTimer,
      ratePerSecond,
      burst: 10,
    });
  },
);

After({ tags: '@weightStore' }, function after(this: Partial<WeightWorld>) {
  return this.fakeWeightStore?.close();
});

When('{int} tokens are taken at once', function when(this: WeightWorld, count: number) {
  Array.from({ length: count }).forEach(() => {
    this.bucket
      .take(signal)
      .then(() => this.grantedAtMs.push(this.weightTimer.nowMs()))
      .catch(assert.fail);
  });
});

When('the bucket is paused for {int} ms', function when(this: WeightWorld, pauseMs: number) {
  this.bucket.pause(pauseMs);
});

When('{int} ms pass for the bucket', function when(this: WeightWorld, byMs: number) {
  return this.weightClock.advance({ byMs });
});

When(
  'the client fetches {int} manifests one after another',
  async function when(this: WeightWorld, count: number) {
    this.manifests = [];
    for (let index = 0; index < count; index += 1) {
      this.manifests.push(await this.weightStore.fetchManifest({ name: `model-${index}`, signal }));
    }
  },
);

Then('the tokens were granted after {string} ms', function then(this: WeightWorld, times: string) {
  assert.equal(this.grantedAtMs.join(), times);
});

Then(
  '{int} random sequences of taken tokens stay within rate and burst',
  async (numRuns: number) => {
    const gaps = fc.array(fc.nat({ max: 400 }), { maxLength: 30 });
    await fc.assert(
      fc.asyncProperty(gaps, async (gapsMs) => {
        const clock = ManualClock.create({ startWallMs: 0 });
        const timer = TimerService.create({ clock });
        const bucket = TokenBucket.create({ timer, ratePerSecond: 10, burst: 3 });
        const grantedAtMs: number[] = [];
        for (const byMs of gapsMs) {
          bucket
            .take(signal)
            .then(() => grantedAtMs.push(timer.nowMs()))
            .catch(assert.fail);
          await clock.advance({ byMs });
        }
        await clock.advance({ byMs: 10_000 });
        assert.equal(grantedAtMs.length, gapsMs.length);
        grantedAtMs.forEach((atMs, index) => {
          const inWindow = grantedAtMs.slice(index).filter((laterMs) => laterMs < atMs + 1_000);
          assert.ok(inWindow.length <= 10 + 3);
        });
      }),
      { numRuns, seed: 17 },
    );
  },
);

Then('the fetches ended as {string}', function then(this: WeightWorld, expected: string) {
  const found = this.manifests.map((manifest) => (manifest.isOk ? 'ok' : manifest.error.codeName));
  assert.equal(found.join(), expected);
});

Then(
  'the last error asks for a wait of {int} ms',
  function then(this: WeightWorld, waitMs: number) {
    const last = this.manifests[this.manifests.length - 1];
    assert.ok(last?.isErr);
    assert.equal(last.error.retryAfterMs, waitMs);
  },
);

Then(
  'a further call waits until {int} ms have passed',
  async function then(this: WeightWorld, waitMs: number) {
    const call = this.weightStore.fetchManifest({ name: 'model', signal });
    await this.weightClock.advance({ byMs: waitMs - 1 });
    assert.deepEqual(this.fakeWeightStore.counts(), { answered: 2, refused: 1 });
    await this.weightClock.advance({ byMs: 1 });
    assert.ok((await call).isOk);
  },
);

function useManualClock(world: WeightWorld): void {
  const weightClock = ManualClock.create({ startWallMs: 0 });
  const weightTimer = TimerService.create({ clock: weightClock });
  Object.assign(world, { weightClock, weightTimer });
}
