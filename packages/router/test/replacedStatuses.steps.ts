/** Steps on statuses of targets that promise more than is known. */
import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';

import type { RouterWorld } from './support.js';

Then('the caller gets 502 without a time to retry', function then(this: RouterWorld) {
  const { head, refusal } = this.received;
  assert.equal(head, undefined, `the target's response was forwarded with status ${head?.status}`);
  assert.deepEqual(
    [refusal?.codeName, refusal?.outcome, refusal?.retryAfterMs],
    ['target-failed', 'may-have-run', 0],
  );
});

Then(
  'the log names the status {int} of the target',
  function then(this: RouterWorld, status: number) {
    const outcomes = this.logged.map(({ event, outcome }) => [event, String(outcome)] as const);
    assert.ok(outcomes.some(([event, outcome]) => event === 'attempt' && outcome === `${status}`));
    const [, refusal = ''] = outcomes.find(([event]) => event === 'call-refused') ?? [];
    assert.match(refusal, new RegExp(`\\bstatus ${status}\\b`));
  },
);

Then('each target that was sent a call has a share of failures', function then(this: RouterWorld) {
  assert.ok(this.sends.length > 0);
  this.sends.forEach(({ target }) => {
    assert.ok(this.context.health.failureShare(target.id) > 0, target.id);
  });
});
