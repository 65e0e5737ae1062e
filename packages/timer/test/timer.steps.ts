import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { type Cancel, ManualClock, type TimeLimit, TimerService } from '@galenatiller/timer';

interface TimerWorld {
  clock: ManualClock;
  timer: TimerService;
  fired: number[];
  repeatCount: number;
  cancelRepeat: Cancel;
  timeLimit: TimeLimit;
}

Given('a timer service on a manual clock', function given(this: TimerWorld) {
  this.clock = ManualClock.create({ startWallMs: 0 });
  this.timer = TimerService.create({ clock: this.clock });
  this.fired = [];
  this.repeatCount = 0;
});

When(
  'timers are armed after {int}, {int} and {int} ms',
  function when(this: TimerWorld, first: number, second: number, third: number) {
    [first, second, third].forEach((delayMs) => {
      this.timer.after({ delayMs, notify: () => this.fired.push(delayMs) });
    });
  },
);

When('the clock advances by {int} ms', function when(this: TimerWorld, byMs: number) {
  return this.clock.advance({ byMs });
});

When('a timer repeats every {int} ms', function when(this: TimerWorld, intervalMs: number) {
  this.cancelRepeat = this.timer.every({
    intervalMs,
    notify: () => {
      this.repeatCount += 1;
    },
  });
});

When('the repeated timer is cancelled', function when(this: TimerWorld) {
  this.cancelRepeat();
});

When('a time limit of {int} ms starts', function when(this: TimerWorld, limitMs: number) {
  this.timeLimit = this.timer.startTimeLimit({ limitMs });
});

Then(
  'the timers {int} and {int} have fired in this order',
  function then(this: TimerWorld, first: number, second: number) {
    assert.deepEqual(this.fired, [first, second]);
  },
);

Then('the repeated timer has fired {int} times', function then(this: TimerWorld, times: number) {
  assert.equal(this.repeatCount, times);
});

Then('the time limit has not aborted', function then(this: TimerWorld) {
  assert.equal(this.timeLimit.signal.aborted, false);
});

Then('the time limit has aborted', function then(this: TimerWorld) {
  assert.equal(this.timeLimit.signal.aborted, true);
});
