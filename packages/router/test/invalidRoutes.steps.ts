/** Steps on routes and calls that can't be run as they are. */
import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { createProblemDetails } from '@galenatiller/error';
import type { RouterConfig } from '@galenatiller/types';

import { BASE_ROUTE, makeCall, type RouterWorld } from './support.js';

function updateRoutes(
  { routes }: RouterWorld,
  change: (before: RouterConfig) => Partial<RouterConfig>,
): void {
  const before = routes.currentConfiguration() ?? assert.fail('no configuration');
  assert.equal(
    routes.update({ ...before, ...change(before), version: before.version + 1 }),
    'adopted',
  );
}

Given(
  /^a version (without services and )?with a route "added" whose stages depend on (\[.*\])$/,
  function given(this: RouterWorld, withoutServices: string | null, dependsOn: string) {
    const stages = (JSON.parse(dependsOn) as number[][]).map((stage) => ({
      service: 'stage',
      dependsOn: stage,
      resultBytes: 1,
    }));
    const added = { ...BASE_ROUTE, name: 'added', pathPrefix: '/added/', stages };
    updateRoutes(this, ({ routes, services }) => ({
      routes: [...routes, added],
      services: withoutServices === null ? services : [],
      invalidRoutes: [],
    }));
  },
);

Given(
  'a version whose route {string} of the prefix {string} is invalid',
  function given(this: RouterWorld, name: string, pathPrefix: string) {
    const { host, isPublic } = BASE_ROUTE;
    updateRoutes(this, ({ routes }) => ({
      routes: routes.filter((route) => route.name !== name),
      invalidRoutes: [{ name, host, pathPrefix, isPublic, problems: ['stages is not a list'] }],
    }));
  },
);

When(
  /^an "order" call with the path "([^"]*)"( and no valid key)? is made$/,
  async function when(this: RouterWorld, path: string, noKey: string | null) {
    await makeCall(this, { path, bearerKey: noKey === null ? 'key' : 'other' });
  },
);

Then(
  'the caller gets 503 as not run, with the code {int}, after {int} ms',
  function then(this: RouterWorld, code: number, afterMs: number) {
    const { refusal, refusedAfterMs } = this.received;
    assert.equal(refusal?.code, code);
    assert.equal(refusal.outcome, 'not-run');
    assert.equal(createProblemDetails(refusal).status, 503);
    assert.ok(refusal.retryAfterMs > 0);
    assert.equal(refusedAfterMs, afterMs);
  },
);

When(
  /^a "staged" call with the numbers of pieces (.*) is made$/,
  async function when(this: RouterWorld, pieces: string) {
    await makeCall(this, { path: '/staged/x', stagePieces: pieces.split(', ').map(Number) });
  },
);

Then('{int} pieces were submitted', function then(this: RouterWorld, pieces: number) {
  assert.equal(this.resultHandles.length, pieces);
});
