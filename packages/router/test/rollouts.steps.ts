import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget, RolloutOrder, RolloutState } from '@galenatiller/types';

import { Rollouts } from '../src/rollouts.js';

interface RolloutWorld {
  /** Times of the slow runs of the new version. */
  slowRunsAtMs: number[];
  rolloutClock: ManualClock;
  rollouts: Rollouts;
  order: RolloutOrder;
  versionTargets: readonly RegisteredTarget[];
  newCalls: number;
  calls: number;
  startedAtMs: number;
  rolledBackAtMs: number | undefined;
  ownerState: RolloutState;
}

/** Numbers from 0 to 1 that are spread evenly. */
const GOLDEN_RATIO = 0.618_034;

const ORDER_REVISION = 31;

/** How often the owner decides. */
const CALLS_PER_DECISION = 20;

function createTarget(version: string, index: number): RegisteredTarget {
  return {
    id: `${version}-${index}`,
    startedWallMs: 1,
    service: 'shop',
    address: `10.0.0.${index}:80`,
    availabilityZone: 'zone',
    version,
    slots: 4,
    state: 'ready',
  };
}

function createRollouts(world: RolloutWorld): Rollouts {
  let drawn = 0;
  return Rollouts.create({
    timer: TimerService.create({ clock: world.rolloutClock }),
    random: () => {
      drawn += GOLDEN_RATIO;
      return drawn % 1;
    },
    unprovedShare: 0.1,
    onEnded: ({ state }) => {
      if (state === 'rolled-back') {
        world.rolledBackAtMs = world.rolloutClock.nowMs();
      }
    },
  });
}

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
    this.newCalls = 0;
    this.calls = 0;
    this.rolledBackAtMs = undefined;
    this.ownerState = 'running';
    this.startedAtMs = this.rolloutClock.nowMs();
    this.rollouts = createRollouts(this);
    this.rollouts.setOrder(this.order);
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
      run: ({ version }) => ({ isFailed: false, paceMs: version === 'v2' ? newMs : oldMs }),
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
        isFailed: version === 'v2' && this.newCalls % 10 < failing,
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
        const isSlow = version === 'v2' && this.newCalls % routes === 0;
        if (isSlow) {
          this.slowRunsAtMs.push(this.rolloutClock.nowMs());
        }
        return { isFailed: false, paceMs: isSlow ? slowMs : otherMs };
      },
    });
  },
);

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

function setStored(world: RolloutWorld, state: RolloutState): void {
  const { service, targetVersion, orderRevision } = world.order;
  world.rollouts.setStored({
    status: { service, targetVersion, state },
    revision: orderRevision + 1,
  });
}

async function makeCalls(
  world: RolloutWorld,
  opts: {
    readonly calls: number;
    readonly forS: number;
    readonly run: (target: RegisteredTarget) => {
      readonly isFailed: boolean;
      readonly paceMs: number;
    };
  },
): Promise<void> {
  const { rollouts } = world;
  for (let call = 1; call <= opts.calls; call += 1) {
    const [target] = rollouts.select('shop', world.versionTargets);
    assert.ok(target);
    world.calls += 1;
    world.newCalls += target.version === 'v2' ? 1 : 0;
    rollouts.observe({ target, ...opts.run(target) });
    await world.rolloutClock.advance({ byMs: (opts.forS * 1_000) / opts.calls });
    if (call % CALLS_PER_DECISION === 0) {
      rollouts.takeEvidence().forEach((evidence) => rollouts.addEvidence(evidence));
      world.ownerState = rollouts.decide(() => true)[0]?.state ?? 'running';
    }
  }
}
