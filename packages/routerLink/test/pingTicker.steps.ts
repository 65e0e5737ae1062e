import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { PingTicker } from '@galenatiller/routerLink';
import { type Cancel, ManualClock, TimerService } from '@galenatiller/timer';

interface TickerWorld {
  tickerClock: ManualClock;
  armed: number;
  checks: number[];
  endLinks: readonly Cancel[];
}

Given('{int} links whose pings share a ticker', function given(this: TickerWorld, links: number) {
  this.tickerClock = ManualClock.create({ startWallMs: 1 });
  this.armed = 0;
  const { nowMs, wallMs, arm } = this.tickerClock;
  const countArm: typeof arm = (opts) => {
    this.armed += 1;
    return arm(opts);
  };
  const ticker = PingTicker.create({
    timer: TimerService.create({ clock: { nowMs, wallMs, arm: countArm } }),
  });
  this.checks = Array.from({ length: links }, () => 0);
  this.endLinks = this.checks.map((_, link) =>
    ticker.start(() => {
      this.checks[link] = (this.checks[link] ?? 0) + 1;
    }),
  );
});

When('{int} ms have passed for the ticker', function when(this: TickerWorld, byMs: number) {
  return this.tickerClock.advance({ byMs });
});

When(
  'the links have ended and {int} ms have passed',
  function when(this: TickerWorld, byMs: number) {
    this.endLinks.forEach((end) => end());
    return this.tickerClock.advance({ byMs });
  },
);

Then(
  'each link was checked {int} times, and {int} timers were armed',
  function then(this: TickerWorld, checks: number, armed: number) {
    assert.ok(this.checks.every((count) => count === checks));
    assert.equal(this.armed, armed);
  },
);
