/** Steps on an order for a version beside which no other one runs. */
import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import type { RolloutWorld } from './rolloutWorld.js';

interface LoneVersionWorld extends RolloutWorld {
  callsWithoutTarget: number;
}

Given(
  'all targets of {string} run {string}',
  function given(this: LoneVersionWorld, service: string, version: string) {
    this.versionTargets = this.versionTargets.filter(
      (target) => target.service === service && target.version === version,
    );
    assert.ok(this.versionTargets.length > 0);
  },
);

When(
  '{int} calls come in {int} s to sound targets',
  async function when(this: LoneVersionWorld, calls: number, forS: number) {
    const { rollouts } = this;
    this.callsWithoutTarget = 0;
    for (let call = 1; call <= calls; call += 1) {
      const [target] = rollouts.select('shop', this.versionTargets);
      if (target) {
        rollouts.observe({ target, route: 'buy', ending: 'good', paceMs: 100 });
      } else {
        this.callsWithoutTarget += 1;
      }
      rollouts.takeEvidence().forEach((evidence) => rollouts.addEvidence(evidence));
      rollouts.decide(() => true);
      await this.rolloutClock.advance({ byMs: (forS * 1_000) / calls });
    }
  },
);

Then('each of them had a target', function then(this: LoneVersionWorld) {
  assert.equal(this.callsWithoutTarget, 0);
});
