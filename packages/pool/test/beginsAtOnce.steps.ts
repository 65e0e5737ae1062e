import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { type BatchOutcome, beginsAtOnce } from '../src/beginsAtOnce.js';
import { LIMITS } from './queueWorld.js';

interface BeginWorld {
  worker: Omit<Parameters<typeof beginsAtOnce>[0], 'limits' | 'leftBytes'>;
  beginsAtOnce: boolean;
}

Given(
  /^a worker with (\d+) sender whose last call was (none|done|refused|failed), at (usual|slow) speed$/,
  function given(this: BeginWorld, senders: string, lastOutcome: BatchOutcome, pace: string) {
    this.worker = { senders: Number(senders), lastOutcome, isSlow: pace === 'slow' };
  },
);

When(
  'a call is sent that leaves {int} % of the room',
  function when(this: BeginWorld, left: number) {
    const leftBytes = (LIMITS.resultMemoryBytes * left) / 100;
    this.beginsAtOnce = beginsAtOnce({ ...this.worker, limits: LIMITS, leftBytes });
  },
);

Then(
  /^its inputs (can|can not) be freed before its end$/,
  function then(this: BeginWorld, end: string) {
    assert.equal(this.beginsAtOnce, end === 'can');
  },
);
