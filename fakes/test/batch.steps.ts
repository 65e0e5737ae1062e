import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { Batch } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface BatchWorld {
  batch: Batch;
  batchClock: ManualClock;
  batchTimer: TimerService;
  jobEndsMs: number[];
}

/** Simulated time after which every job is complete. */
const SIMULATED_MS = 1_000;

Given(
  'a batch with {int} ms a token, {int} ms for each further request and at most {int} request(s)',
  function given(this: BatchWorld, base: number, slope: number, capacity: number) {
    this.batchClock = ManualClock.create({ startWallMs: 0 });
    this.batchTimer = TimerService.create({ clock: this.batchClock });
    this.batch = Batch.create({
      timer: this.batchTimer,
      speed: { baseMsPerToken: base, slopeMsPerToken: slope, capacity },
      slowFactor: () => 1,
    });
    this.jobEndsMs = [0, 0, 0];
  },
);

When(
  'jobs of {int}, {int} and {int} tokens are submitted',
  function when(this: BatchWorld, first: number, second: number, third: number) {
    [first, second, third].forEach((tokens, index) => {
      submit(this, { index, tokens, priority: 0 });
    });
    return this.batchClock.advance({ byMs: SIMULATED_MS });
  },
);

When(
  'jobs of 1 token with priorities {int}, {int} and {int} are submitted',
  function when(this: BatchWorld, first: number, second: number, third: number) {
    [first, second, third].forEach((priority, index) => {
      submit(this, { index, tokens: 1, priority });
    });
    return this.batchClock.advance({ byMs: SIMULATED_MS });
  },
);

Then(
  'the jobs end after {int}, {int} and {int} ms',
  function then(this: BatchWorld, first: number, second: number, third: number) {
    assert.deepEqual(this.jobEndsMs, [first, second, third]);
  },
);

function submit(
  world: BatchWorld,
  opts: { readonly index: number; readonly tokens: number; readonly priority: number },
): void {
  world.batch.submit({
    priority: opts.priority,
    prefillMs: 0,
    tokens: opts.tokens,
    stepsPerToken: 1,
    signal: new AbortController().signal,
    onToken: () => {},
    onEnd: () => {
      world.jobEndsMs.splice(opts.index, 1, world.batchTimer.nowMs());
    },
  });
}
