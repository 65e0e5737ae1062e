import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { type LimitDecision, OrganisationLimiter } from '@galenatiller/caller';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { LimitRule } from '@galenatiller/types';

interface LimiterWorld {
  clock: ManualClock;
  limiters: OrganisationLimiter[];
  decisions: LimitDecision[][];
}

const ORGANISATION = 'film-crews';

Given(
  '{int} limiters that share a limit of {int} calls a second and {int} in flight',
  function given(this: LimiterWorld, count: number, requestsPerSecond: number, inFlight: number) {
    const limit: LimitRule = {
      kind: 'limit',
      organisation: ORGANISATION,
      requestsPerSecond,
      inFlight,
      askedBy: 'test',
    };
    this.clock = ManualClock.create({ startWallMs: 0 });
    const timer = TimerService.create({ clock: this.clock });
    this.limiters = Array.from({ length: count }, () =>
      OrganisationLimiter.create({ timer, findLimit: () => limit, countEntries: () => count }),
    );
  },
);

When(
  'each limiter is asked for {int} calls in one second',
  function when(this: LimiterWorld, calls: number) {
    this.decisions = this.limiters.map((limiter) =>
      Array.from({ length: calls }, () => limiter.acquire(ORGANISATION)),
    );
  },
);

When('every admitted call ends and a second passes', async function when(this: LimiterWorld) {
  this.limiters.forEach((limiter, index) => {
    this.decisions[index]
      ?.filter(({ kind }) => kind === 'admit')
      .forEach(() => limiter.release(ORGANISATION));
  });
  await this.clock.advance({ byMs: 1_000 });
});

Then(
  'together they admit {int} calls that run at once',
  function then(this: LimiterWorld, count: number) {
    const admitted = this.decisions.flat().filter(({ kind }) => kind === 'admit').length;
    assert.equal(admitted, count);
  },
);

Then('the limiters admit calls again', function then(this: LimiterWorld) {
  const kinds = this.limiters.map((limiter) => limiter.acquire(ORGANISATION).kind);
  assert.deepEqual(new Set(kinds), new Set(['admit']));
});

Then(
  'the last limiter refuses with reason {string} and a retry after {int} ms',
  function then(this: LimiterWorld, reason: string, retryAfterMs: number) {
    assert.deepEqual(this.decisions.at(-1)?.at(-1), { kind: 'refuse', reason, retryAfterMs });
  },
);
