import assert from 'node:assert/strict';

import type { CallerLimit } from '@galenatiller/caller';
import { Given, Then, When } from '@cucumber/cucumber';
import type { LoggedEvent } from '@galenatiller/logger';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { LimitedCallers } from '../src/limitedCallers.js';

interface LimitedWorld {
  limitedClock: ManualClock;
  limitedCallers: LimitedCallers;
  limitedLines: LoggedEvent[];
}

Given('a log of limited callers', function given(this: LimitedWorld) {
  this.limitedClock = ManualClock.create({ startWallMs: 1_000_000 });
  this.limitedLines = [];
  this.limitedCallers = LimitedCallers.create({
    timer: TimerService.create({ clock: this.limitedClock }),
    log: (fields) => this.limitedLines.push(fields),
    metrics: { count: () => {} },
  });
});

When(
  '{int} connections meet {string} and {int} meet {string} within {int} ms',
  async function when(
    this: LimitedWorld,
    first: number,
    firstLimit: string,
    second: number,
    secondLimit: string,
    withinMs: number,
  ) {
    for (let count = 0; count < first; count += 1) {
      this.limitedCallers.record(firstLimit as CallerLimit);
      await this.limitedClock.advance({ byMs: withinMs / first });
    }
    for (let count = 0; count < second; count += 1) {
      this.limitedCallers.record(secondLimit as CallerLimit);
    }
  },
);

When('{int} ms pass for their log', async function when(this: LimitedWorld, byMs: number) {
  await this.limitedClock.advance({ byMs });
});

Then(
  'there is one line, with {string} and {string}',
  function then(this: LimitedWorld, first: string, second: string) {
    assert.deepEqual(
      this.limitedLines.map((line) => (line as { limited?: unknown }).limited),
      [[first, second]],
    );
  },
);
