import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import { RecentTimes } from '@galenatiller/timer';

interface RecentWorld {
  recentTimes: RecentTimes;
}

Given(
  'durations of {string} of {int} ms and {int} ms at {int} ms',
  function given(this: RecentWorld, name: string, first: number, second: number, nowMs: number) {
    this.recentTimes = RecentTimes.create();
    this.recentTimes.observe({ name, tookMs: first, nowMs });
    this.recentTimes.observe({ name, tookMs: second, nowMs });
  },
);

Then(
  '{string} is expected to take {int} ms at {int} ms',
  function then(this: RecentWorld, name: string, tookMs: number, nowMs: number) {
    assert.equal(this.recentTimes.expect({ name, nowMs }), tookMs);
  },
);
