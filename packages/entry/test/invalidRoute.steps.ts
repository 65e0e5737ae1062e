import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { Call } from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import type { GalenatillerError } from '@galenatiller/error';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Rule } from '@galenatiller/types';

import { runCall, type RunCallOptions } from '../src/runCall.js';

interface InvalidRouteWorld {
  refusal: GalenatillerError;
}

const ROUTE: Rule = {
  kind: 'route',
  name: 'route',
  stages: ['missing'],
  deadlineMs: 1_000,
  priority: 'interactive',
  askedBy: 'test',
};

When(
  'a call of a route with an unknown stage is made',
  async function when(this: InvalidRouteWorld) {
    const configuration = indexRules({ revision: 1, rules: [ROUTE] });
    const parts = {
      readConfiguration: () => configuration,
      timer: TimerService.create({ clock: ManualClock.create({ startWallMs: 0 }) }),
      record: () => {},
    };
    // A call of an invalid route must be refused before it uses any other part of the entry.
    const ended = await runCall(
      parts as unknown as RunCallOptions,
      { requestId: 'request', route: 'route', runKey: '' } as Call,
      () => Promise.resolve(),
    );
    this.refusal = ended.isErr ? ended.error : assert.fail('the call was served');
  },
);

Then(
  'it is refused as not run, with the code {int} and a time to retry',
  function then(this: InvalidRouteWorld, code: number) {
    assert.equal(this.refusal.code, code);
    assert.equal(this.refusal.outcome, 'not-run');
    assert.ok(this.refusal.retryAfterMs > 0);
  },
);
