import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import {
  createFakePool,
  computeExpectedVector,
  type FakeTarget,
  createSampleStageRequest,
} from '@galenatiller/fakes';
import { runPoolStage } from '@galenatiller/pool';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { Passage, StageInput, StageResult } from '@galenatiller/types';
import type { Result } from 'true-myth';

interface PoolWorld {
  poolTimer: TimerService;
  fakePool: FakeTarget;
  poolResult: Result<StageResult, GalenatillerError>;
  foundPassages: readonly Passage[];
}

Given('a fake pool worker', async function given(this: PoolWorld) {
  this.poolTimer = TimerService.create({ clock: systemClock });
  this.fakePool = await createFakePool({
    timer: this.poolTimer,
    port: 0,
    seed: 1,
    restartMs: 1,
    version: 'v1',
    serviceMs: 1,
    concurrency: 2,
  });
});

After({ tags: '@pool' }, function after(this: Partial<PoolWorld>) {
  return this.fakePool?.close();
});

Given('the pool worker refuses', function given(this: PoolWorld) {
  this.fakePool.faults.apply({ kind: 'refuse', on: true });
});

Given('the pool worker hangs and crashes once it is reached', function given(this: PoolWorld) {
  this.fakePool.faults.apply({ kind: 'hang', on: true });
  const crashWhenReached = (): void => {
    if (this.fakePool.ledger.runs.length > 0) {
      this.fakePool.crash();
      return;
    }
    this.poolTimer.after({ delayMs: 1, notify: crashWhenReached });
  };
  crashWhenReached();
});

When(
  'the pool encodes {string} and {string}',
  function when(this: PoolWorld, first: string, second: string) {
    return run(this, { kind: 'encode', texts: [first, second] });
  },
);

When(
  'the pool retrieves {int} passages for {string}',
  async function when(this: PoolWorld, passageLimit: number, query: string) {
    await run(this, { kind: 'retrieve', query, vector: [0.5], passageLimit });
    this.foundPassages = getPassages(this);
  },
);

When('the pool reranks them for {string}', function when(this: PoolWorld, query: string) {
  return run(this, { kind: 'rerank', query, passages: this.foundPassages });
});

Then(
  'the pool result has the vectors of {string} and {string}',
  function then(this: PoolWorld, first: string, second: string) {
    assert.deepEqual(this.poolResult.unwrapOr(undefined), {
      kind: 'encode',
      vectors: [computeExpectedVector(first), computeExpectedVector(second)],
    });
  },
);

Then(
  'the pool result has all {int} passages, best first',
  function then(this: PoolWorld, count: number) {
    const passages = getPassages(this);
    const scores = passages.map(({ score }) => score);
    assert.equal(new Set(passages.map(({ id }) => id)).size, count);
    assert.deepEqual(
      scores,
      [...scores].sort((left, right) => right - left),
    );
  },
);

Then(
  'the pool stage fails as {string} with outcome {string}',
  function then(this: PoolWorld, codeName: string, outcome: string) {
    assert.ok(this.poolResult.isErr);
    assert.equal(this.poolResult.error.codeName, codeName);
    assert.equal(this.poolResult.error.outcome, outcome);
  },
);

Then('the run at the pool worker ended as {string}', function then(this: PoolWorld, how: string) {
  assert.equal(this.fakePool.ledger.runs[0]?.ended?.how, how);
});

async function run(world: PoolWorld, input: StageInput): Promise<void> {
  const { signal } = new AbortController();
  const poolResult = await runPoolStage({
    url: world.fakePool.url,
    order: createSampleStageRequest(input),
    signal,
  });
  Object.assign(world, { poolResult });
}

function getPassages(world: PoolWorld): readonly Passage[] {
  assert.ok(world.poolResult.isOk);
  const { value } = world.poolResult;
  assert.ok(value.kind === 'retrieve' || value.kind === 'rerank');
  return value.passages;
}
