import assert from 'node:assert/strict';

import { Given, When } from '@cucumber/cucumber';
import { advanceUntil, type FakeStoreCopy, type StoreFixture } from '@galenatiller/fakes';
import type { RunRecords } from '@galenatiller/store';

/** The world of the run records, which these steps share. */
interface RestoredRunWorld {
  runFixture: StoreFixture;
  gates: Map<string, RunRecords>;
  runCopy: FakeStoreCopy;
}

const DONE = { outcome: 'ran', code: 0, detail: 'done', retryAfterMs: 0, queueMs: 0, runMs: 1 };

Given('the store of the run records is copied', function given(this: RestoredRunWorld) {
  this.runCopy = this.runFixture.fakeStore.state.copy();
});

When('the store of the run records is restored', function when(this: RestoredRunWorld) {
  this.runFixture.fakeStore.breakWatches();
  this.runFixture.fakeStore.state.restore(this.runCopy);
});

When(
  'another client is granted a lease of {int} ms by the store',
  function when(this: RestoredRunWorld, ttlMs: number) {
    this.runFixture.fakeStore.state.grantLease(ttlMs);
  },
);

When(
  'gate {string} completes the run {string}',
  async function when(this: RestoredRunWorld, name: string, runKey: string) {
    const end = { ...DONE, outcome: 'ran' as const };
    const { clock } = this.runFixture;
    const run = { organisation: 'o', runKey, bodyDigest: 'b', end };
    await advanceUntil(clock, getGate(this, name).complete(run));
  },
);

When(
  'gate {string} abandons the run {string}',
  function when(this: RestoredRunWorld, name: string, runKey: string) {
    getGate(this, name).abandon({ organisation: 'o', runKey });
  },
);

function getGate(world: RestoredRunWorld, name: string): RunRecords {
  const gate = world.gates.get(name);
  assert.ok(gate);
  return gate;
}
