import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import { SmoothedDurations } from '@galenatiller/timer';

interface RecentWorld {
  recentTimes: SmoothedDurations;
}

Given(
  'durations of {string} of {int} ms and {int} ms at {int} ms',
  function given(this: RecentWorld, name: string, first: number, second: number, nowMs: number) {
    this.recentTimes = SmoothedDurations.create();
    this.recentTimes.observe({ name, durationMs: first, nowMs });
    this.recentTimes.observe({ name, durationMs: second, nowMs });
  },
);

Then(
  '{string} is expected to take {int} ms at {int} ms',
  function then(this: RecentWorld, name: string, tookMs: number, nowMs: number) {
    assert.equal(this.recentTimes.estimateMs({ name, nowMs }), tookMs);
  },
);
