import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { type Clock, ManualClock, TimerService } from '@galenatiller/timer';

import { computeTimeLimitMs } from '../src/computeTimeLimitMs.js';
import { EventLoopWatch } from '../src/eventLoopWatch.js';

interface WatchWorld {
  watchClock: ManualClock;
  /** Time that the event loop was blocked in total. */
  blockedMs: number;
  reportedLagsMs: number[];
  /** For how long what was read in the turn of the last check may have waited. */
  unreadMs: number;
  watch: EventLoopWatch;
  limitMs: number;
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
  const watch = EventLoopWatch.create({
    timer: TimerService.create({ clock }),
    onLag: ({ lagMs }) => this.reportedLagsMs.push(lagMs),
    onCheck: () => {
      // Microtasks come before the reads of the turn.
      queueMicrotask(() => {
        this.unreadMs = watch.unreadMs;
      });
    },
  });
  watch.start();
  this.watch = watch;
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

Then(
  'what is read next has waited for {int} to {int} ms',
  function then(this: WatchWorld, minMs: number, maxMs: number) {
    assert.ok(this.unreadMs >= minMs && this.unreadMs <= maxMs, String(this.unreadMs));
  },
);

When(
  'a call with {int} ms left is limited while timers fire {int} ms late',
  function when(this: WatchWorld, leftMs: number, loopLagMs: number) {
    this.limitMs = computeTimeLimitMs({ nowMs: 5_000, deadlineAtMs: 5_000 + leftMs, loopLagMs });
  },
);

Then('its timer is armed for {int} ms', function then(this: WatchWorld, limitMs: number) {
  assert.equal(this.limitMs, limitMs);
});

When('the event loop is blocked for {int} ms', function when(this: WatchWorld, blockedMs: number) {
  this.blockedMs += blockedMs;
});

Then(
  'what is read now has waited for {int} to {int} ms',
  function then(this: WatchWorld, minMs: number, maxMs: number) {
    const { unreadMs } = this.watch;
    assert.ok(unreadMs >= minMs && unreadMs <= maxMs, String(unreadMs));
  },
);
