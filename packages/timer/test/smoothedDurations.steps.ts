import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import { SmoothedDurations } from '@galenatiller/timer';

interface DurationsWorld {
  durations: SmoothedDurations;
}

Given(
  'durations of {string} of {int} ms and {int} ms at {int} ms',
  function given(this: DurationsWorld, name: string, first: number, second: number, nowMs: number) {
    this.durations = SmoothedDurations.create();
    this.durations.observe({ name, durationMs: first, nowMs });
    this.durations.observe({ name, durationMs: second, nowMs });
  },
);

Then(
  '{string} is expected to take {int} ms at {int} ms',
  function then(this: DurationsWorld, name: string, durationMs: number, nowMs: number) {
    assert.equal(this.durations.estimateMs({ name, nowMs }), durationMs);
  },
);
