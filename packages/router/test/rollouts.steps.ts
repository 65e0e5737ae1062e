import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock } from '@galenatiller/timer';
import type { RolloutState } from '@galenatiller/types';

import type { ObservedRun } from '../src/observedRun.js';

import {
  createRollouts,
  createTarget,
  drawUnevenly,
  makeCalls,
  ORDER_REVISION,
  type RolloutWorld,
  startRollout,
} from './rolloutWorld.js';

Given(
  'a rollout of {string} from {string} to {string} within {int} s, with {int} targets of each version',
  function given(
    this: RolloutWorld,
    service: string,
    from: string,
    to: string,
    durationS: number,
    targets: number,
  ) {
    this.rolloutClock = ManualClock.create({ startWallMs: 1_000_000 });
    const durationMs = durationS * 1_000;
    this.order = { service, targetVersion: to, durationMs, orderRevision: ORDER_REVISION };
    this.versionTargets = [from, to].flatMap((version) =>
      Array.from({ length: targets }, (_, index) => createTarget(version, index)),
    );
    startRollout(this);
  },
);

Given(
  'a router that reads from the store that the rollout was rolled back',
  function given(this: RolloutWorld) {
    this.rollouts = createRollouts(this);
    setStored(this, 'rolled-back');
    this.rollouts.setOrder(this.order);
  },
);

Given(
  'a router that reads from the store that the rollout was rolled back, and no order',
  function given(this: RolloutWorld) {
    this.rollouts = createRollouts(this);
    setStored(this, 'rolled-back');
  },
);

Given(
  'a router that reads from the store that the rollout is running, and then its order',
  function given(this: RolloutWorld) {
    this.rollouts = createRollouts(this);
    setStored(this, 'running');
    this.rollouts.setOrder(this.order);
  },
);

When(
  '{int} calls come in {int} s, and runs take {int} ms on "v1" and {int} ms on "v2"',
  function when(this: RolloutWorld, calls: number, forS: number, oldMs: number, newMs: number) {
    return makeCalls(this, {
      calls,
      forS,
      run: ({ version }) => ({
        route: 'buy',
        ending: 'good',
        paceMs: version === 'v2' ? newMs : oldMs,
      }),
    });
  },
);

When(
  '{int} calls come in {int} s, and {int} of 10 runs fail on "v2"',
  function when(this: RolloutWorld, calls: number, forS: number, failing: number) {
    return makeCalls(this, {
      calls,
      forS,
      run: ({ version }) => ({
        route: 'buy',
        ending: toEnding(version === 'v2' && this.newCalls % 10 < failing),
        paceMs: 100,
      }),
    });
  },
);

When(
  '{int} calls come in {int} s, and on one of {int} routes runs take {int} ms on "v2", all others {int} ms',
  async function when(
    this: RolloutWorld,
    calls: number,
    forS: number,
    routes: number,
    slowMs: number,
    otherMs: number,
  ) {
    this.slowRunsAtMs = [];
    await makeCalls(this, {
      calls,
      forS,
      run: ({ version }) => {
        const route = (version === 'v2' ? this.newCalls : this.calls) % routes;
        const isSlow = version === 'v2' && route === 0;
        if (isSlow) {
          this.slowRunsAtMs.push(this.rolloutClock.nowMs());
        }
        return { route: `route ${route}`, ending: 'good', paceMs: isSlow ? slowMs : otherMs };
      },
    });
  },
);

When(
  '{int} calls come in {int} s, and on one of {int} routes {int} of 100 runs fail on "v2" and {int} on "v1"',
  function when(
    this: RolloutWorld,
    calls: number,
    forS: number,
    routes: number,
    newPercent: number,
    oldPercent: number,
  ) {
    return makeCalls(this, {
      calls,
      forS,
      run: ({ version }) => {
        const run = version === 'v2' ? this.newCalls : this.calls;
        const percent = version === 'v2' ? newPercent : oldPercent;
        const isFailed = run % routes === 0 && drawUnevenly(run) < percent / 100;
        return { route: `route ${run % routes}`, ending: toEnding(isFailed), paceMs: 100 };
      },
    });
  },
);

When(
  '{int} rollouts get {int} calls in {int} s each, and {int} of 100 runs fail on one of {int} routes',
  async function when(
    this: RolloutWorld,
    rollouts: number,
    calls: number,
    forS: number,
    percent: number,
    routes: number,
  ) {
    this.rolledBack = 0;
    for (let seed = 1; seed <= rollouts; seed += 1) {
      startRollout(this);
      await makeCalls(this, {
        calls,
        forS,
        run: () => ({
          route: `route ${this.calls % routes}`,
          ending: toEnding(
            this.calls % routes === 0 && drawUnevenly(this.calls, seed) < percent / 100,
          ),
          paceMs: 100,
        }),
      });
      this.rolledBack += this.rolledBackAtMs === undefined ? 0 : 1;
    }
  },
);

Then('at most {int} of them were rolled back', function then(this: RolloutWorld, max: number) {
  assert.ok(this.rolledBack <= max, `${this.rolledBack}`);
});

Then(
  '"v2" got no call later than {int} s after its {int}th slow run',
  function then(this: RolloutWorld, s: number, runs: number) {
    const [nthAtMs, lastAtMs] = [this.slowRunsAtMs[runs - 1], this.slowRunsAtMs.at(-1)];
    if (nthAtMs !== undefined && lastAtMs !== undefined) {
      assert.ok(lastAtMs - nthAtMs <= s * 1_000, `${lastAtMs - nthAtMs} ms`);
    }
  },
);

When('the same rollout is ordered again', function when(this: RolloutWorld) {
  this.rollouts.setOrder(this.order);
});

When('the same version is ordered once more', function when(this: RolloutWorld) {
  this.order = { ...this.order, orderRevision: this.order.orderRevision + 10 };
  this.rollouts.setOrder(this.order);
});

When(
  'the store is restored and the same version is ordered once more',
  function when(this: RolloutWorld) {
    this.rollouts.onStoreRestored();
    this.order = { ...this.order, orderRevision: this.order.orderRevision + 10 };
    this.rollouts.setOrder(this.order);
  },
);

When(
  'the store is restored and {string} is ordered at the same revision',
  function when(this: RolloutWorld, targetVersion: string) {
    this.rollouts.onStoreRestored();
    this.rollouts.setOrder({ ...this.order, targetVersion });
  },
);

When(
  'the store is restored, and {int} s later the same version is ordered at a lower revision',
  async function when(this: RolloutWorld, s: number) {
    this.rollouts.onStoreRestored();
    await this.rolloutClock.advance({ byMs: s * 1_000 });
    this.order = { ...this.order, orderRevision: this.order.orderRevision - 1 };
    this.rollouts.setOrder(this.order);
  },
);

Then('the rollout is one to {string}', function then(this: RolloutWorld, version: string) {
  const [decision] = this.rollouts.decide(() => true);
  assert.equal(decision?.targetVersion, version);
});

When(
  'a peer shares that {string} was rolled back, with the revision of the order',
  function when(this: RolloutWorld, targetVersion: string) {
    const { service, orderRevision } = this.order;
    const state = 'rolled-back';
    this.rollouts.end({ service, targetVersion, orderRevision, state, detail: 'slower' });
  },
);

When('the store has it as {string}', function when(this: RolloutWorld, state: RolloutState) {
  setStored(this, state);
});

Then('the rollout was rolled back within {int} s', function then(this: RolloutWorld, s: number) {
  assert.ok(this.rolledBackAtMs !== undefined, 'it was not rolled back');
  const tookMs = this.rolledBackAtMs - this.startedAtMs;
  assert.ok(tookMs <= s * 1_000, `${tookMs} ms`);
});

Then('calls go to "v1" and "v2"', function then(this: RolloutWorld) {
  const versions = Array.from(
    { length: 100 },
    () => this.rollouts.select('shop', this.versionTargets)[0]?.version,
  );
  assert.deepEqual(new Set(versions), new Set(['v1', 'v2']));
});

Then(
  'stage workers of "v2" get no pieces, and those of "v1" do',
  function then(this: RolloutWorld) {
    this.versionTargets.forEach((target) => {
      assert.equal(this.rollouts.isUnproved(target), target.version === 'v2');
    });
  },
);

Then('stage workers of "v2" get pieces', function then(this: RolloutWorld) {
  assert.ok(this.versionTargets.every((target) => !this.rollouts.isUnproved(target)));
});

Then('the rollout still runs', function then(this: RolloutWorld) {
  assert.equal(this.ownerState, 'running');
});

Then(
  'the owner wants the rollout to be {string}',
  function then(this: RolloutWorld, state: RolloutState) {
    assert.equal(this.ownerState, state);
  },
);

Then('"v2" got at most {int} calls', function then(this: RolloutWorld, max: number) {
  assert.ok(this.newCalls <= max, `${this.newCalls} of ${this.calls}`);
});

Then(
  '"v2" got between {int} and {int} calls',
  function then(this: RolloutWorld, min: number, max: number) {
    assert.ok(this.newCalls >= min && this.newCalls <= max, `${this.newCalls} of ${this.calls}`);
  },
);

Then('calls only go to {string}', function then(this: RolloutWorld, version: string) {
  for (let call = 0; call < 100; call += 1) {
    const targets = this.rollouts.select('shop', this.versionTargets);
    assert.ok(targets.length > 0);
    assert.ok(targets.every((target) => target.version === version));
  }
});

function toEnding(isFailed: boolean): ObservedRun['ending'] {
  return isFailed ? 'failed' : 'good';
}

function setStored(world: RolloutWorld, state: RolloutState): void {
  const { service, targetVersion, orderRevision } = world.order;
  world.rollouts.setStored({
    status: { service, targetVersion, state },
    revision: orderRevision + 1,
  });
}
