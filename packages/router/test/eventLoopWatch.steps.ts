import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { type Clock, ManualClock, TimerService } from '@galenatiller/timer';

import { EventLoopWatch } from '../src/eventLoopWatch.js';

interface WatchWorld {
  watchClock: ManualClock;
  /** Time that the event loop was blocked in total. */
  blockedMs: number;
  reportedLagsMs: number[];
}

Given('an event loop watch', function given(this: WatchWorld) {
  this.watchClock = ManualClock.create({ startWallMs: 1_000_000 });
  this.blockedMs = 0;
  this.reportedLagsMs = [];
  const clock: Clock = {
    nowMs: () => this.watchClock.nowMs() + this.blockedMs,
    wallMs: () => this.watchClock.wallMs() + this.blockedMs,
    arm: (opts) => this.watchClock.arm(opts),
  };
  EventLoopWatch.create({
    timer: TimerService.create({ clock }),
    onLag: ({ lagMs }) => this.reportedLagsMs.push(lagMs),
    onCheck: () => {},
  }).start();
});

When('the event loop runs for {int} ms', function when(this: WatchWorld, byMs: number) {
  return this.watchClock.advance({ byMs });
});

When(
  'the event loop is blocked for {int} ms and runs for {int} ms',
  function when(this: WatchWorld, blockedMs: number, byMs: number) {
    this.blockedMs += blockedMs;
    return this.watchClock.advance({ byMs });
  },
);

Then('{int} lags are reported', function then(this: WatchWorld, lags: number) {
  assert.equal(this.reportedLagsMs.length, lags);
});

Then(
  '{int} lag is reported, of {int} to {int} ms',
  function then(this: WatchWorld, lags: number, minMs: number, maxMs: number) {
    assert.equal(this.reportedLagsMs.length, lags);
    this.reportedLagsMs.forEach((lagMs) => assert.ok(lagMs >= minMs && lagMs <= maxMs));
  },
);
