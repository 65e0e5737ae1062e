import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  chooseTarget,
  type ChooseTargetOptions,
  ColdRateLimiter,
  RetryBudget,
  TargetDirectory,
  TargetHealth,
} from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

interface TargetWorld {
  targetClock: ManualClock;
  targetTimer: TimerService;
  directory: TargetDirectory;
  health: TargetHealth;
  suspensions: number;
  sent: number;
  limiters: readonly ColdRateLimiter[];
  budgets: readonly RetryBudget[];
  totalRequests: number;
  choices: readonly (readonly [string, string])[];
  lastChoice: ReturnType<typeof chooseTarget>;
}

function createTarget(id: string, changes: Partial<RegisteredTarget> = {}): RegisteredTarget {
  return {
    id,
    startedWallMs: 1,
    service: 'engine',
    address: `10.0.0.1:${8_000 + id.charCodeAt(0)}`,
    availabilityZone: `zone-${id}`,
    version: 'v1',
    slots: 8,
    state: 'ready',
    ...changes,
  };
}

function createTimer(world: TargetWorld): TimerService {
  world.targetClock = ManualClock.create({ startWallMs: 1_000_000 });
  world.targetTimer = TimerService.create({ clock: world.targetClock });
  return world.targetTimer;
}

function findUsableIds(world: TargetWorld): string {
  return world.directory
    .findUsable('engine')
    .map(({ id }) => id)
    .sort()
    .join(', ');
}

Given(
  'the targets {string} and {string} are registered',
  function given(this: TargetWorld, first: string, second: string) {
    this.directory = TargetDirectory.create({ timer: createTimer(this), onChange: () => {} });
    [first, second].forEach((id) =>
      this.directory.put({ id, target: createTarget(id), storeRevision: 1 }),
    );
  },
);

When('target {string} starts draining', function when(this: TargetWorld, id: string) {
  this.directory.put({ id, target: createTarget(id, { state: 'draining' }), storeRevision: 2 });
});

When('target {string} has restarted', function when(this: TargetWorld, id: string) {
  this.directory.put({ id, target: createTarget(id, { startedWallMs: 2 }), storeRevision: 2 });
});

When(
  /^the store is reachable again (?:after (\d+) ms )?without target "([^"]*)"$/,
  function when(this: TargetWorld, awayMs: string | null, id: string) {
    this.directory.onStoreReconnected({ awayMs: Number(awayMs ?? 10_000) });
    const entries = this.directory
      .all()
      .filter((target) => target.id !== id)
      .map((target) => ({ id: target.id, target, storeRevision: 3 }));
    this.directory.replaceAll(entries);
  },
);

When(
  'target {string} is registered again after {int} ms',
  async function when(this: TargetWorld, id: string, delayMs: number) {
    await this.targetClock.advance({ byMs: delayMs });
    this.directory.put({ id, target: createTarget(id), storeRevision: 4 });
  },
);

When('the entry of target {string} is removed', function when(this: TargetWorld, id: string) {
  this.directory.remove({ id, storeRevision: 2 });
});

When(
  /^zone "([^"]*)" is taken (out|in)$/,
  function when(this: TargetWorld, zone: string, way: string) {
    this.directory.setZoneOut({ zone, isOut: way === 'out', storeRevision: 2 });
  },
);

Then('the usable targets are {string}', function then(this: TargetWorld, ids: string) {
  assert.equal(findUsableIds(this), ids);
});

Then(
  'after {int} ms the usable targets are {string}',
  async function then(this: TargetWorld, delayMs: number, ids: string) {
    await this.targetClock.advance({ byMs: delayMs });
    assert.equal(findUsableIds(this), ids);
  },
);

Then('the old process of target {string} is not usable', function then(this: TargetWorld, id) {
  assert.equal(this.directory.isUsable(createTarget(id)), false);
  assert.equal(this.directory.isUsable(createTarget(id, { startedWallMs: 2 })), true);
});

Given('a health record of targets', function given(this: TargetWorld) {
  this.suspensions = 0;
  this.health = TargetHealth.create({
    timer: createTimer(this),
    onEvent: ({ kind }) => {
      this.suspensions += kind === 'suspended' ? 1 : 0;
    },
  });
});

When('target {string} is unreachable', function when(this: TargetWorld, targetId: string) {
  this.health.record({ targetId, result: 'unreachable' });
});

When('target {string} responds successfully', function when(this: TargetWorld, targetId: string) {
  this.health.record({ targetId, result: 'good' });
});

When(
  /^target "([^"]*)" fails every (\d+)(?:st|th) of (\d+) requests$/,
  function when(this: TargetWorld, targetId: string, every: string, requests: string) {
    Array.from({ length: Number(requests) }, (_, index) => index + 1).forEach((index) =>
      this.health.record({ targetId, result: index % Number(every) === 0 ? 'failed' : 'good' }),
    );
  },
);

Then('target {string} is suspended', function then(this: TargetWorld, targetId: string) {
  assert.equal(this.health.isSuspended(targetId), true);
});

Then('target {string} is not suspended', function then(this: TargetWorld, targetId: string) {
  assert.equal(this.health.isSuspended(targetId), false);
});

Then(
  'after {int} ms target {string} is not suspended',
  async function then(this: TargetWorld, delayMs: number, targetId: string) {
    await this.targetClock.advance({ byMs: delayMs });
    assert.equal(this.health.isSuspended(targetId), false);
  },
);

Then('target {string} was never suspended', function then(this: TargetWorld, _targetId: string) {
  assert.equal(this.suspensions, 0);
});

Given(
  '{int} nodes that share a cold target with 12 requests a second',
  function given(this: TargetWorld, nodes: number) {
    const timer = createTimer(this);
    this.limiters = Array.from({ length: nodes }, () =>
      ColdRateLimiter.create({ timer, nodeCount: () => nodes, overFactor: 1.5, slackRequests: 5 }),
    );
  },
);

When(
  'each node sends as many requests as allowed within one second',
  async function when(this: TargetWorld) {
    this.sent = 0;
    for (let tick = 0; tick < 99; tick += 1) {
      this.limiters.forEach((limiter) => {
        while (limiter.canSend({ address: 'a', maxColdRequestsPerSecond: 12 })) {
          limiter.recordSent('a');
          this.sent += 1;
        }
      });
      await this.targetClock.advance({ byMs: 10 });
    }
  },
);

Then('the target got at most {int} requests', function then(this: TargetWorld, max: number) {
  assert.ok(this.sent > 0 && this.sent <= max, `${this.sent} requests`);
});

Given(
  '{int} nodes that share a budget of 0.2 retries per request and 56 more',
  function given(this: TargetWorld, nodes: number) {
    const timer = createTimer(this);
    this.budgets = Array.from({ length: nodes }, () =>
      RetryBudget.create({
        timer,
        windowMs: 10_000,
        ratio: 0.2,
        slackRetries: 56,
        nodeCount: () => nodes,
        hasWholeShare: () => true,
      }),
    );
  },
);

When(
  'each node has {int} requests and retries as often as allowed',
  function when(this: TargetWorld, requests: number) {
    this.totalRequests = requests * this.budgets.length;
    this.sent = 0;
    this.budgets.forEach((budget) => {
      Array.from({ length: requests }).forEach(() => budget.recordRequest('engine'));
      while (budget.tryWithdraw('engine')) {
        this.sent += 1;
      }
    });
  },
);

Then('the retries are at most 0.2 per request and 56 more', function then(this: TargetWorld) {
  assert.ok(this.sent > 0 && this.sent <= 0.2 * this.totalRequests + 56, `${this.sent} retries`);
});

function createChoiceOptions(
  targets: readonly RegisteredTarget[],
  key: string,
): ChooseTargetOptions {
  return {
    targets,
    tried: new Set(),
    promptParts: [
      { id: key, tokens: 500 },
      { id: 'own', tokens: 20 },
    ],
    ownZone: 'zone-a',
    crossZoneInputBytes: () => 0,
    inFlight: () => 0,
    isSuspended: () => false,
    failureShare: () => 0,
    canAccept: () => true,
    hash: (text) => createHash('sha256').update(text).digest().readUInt32BE(0),
  };
}

When(
  'two nodes choose among the same targets in different orders',
  function when(this: TargetWorld) {
    const targets = ['a', 'b', 'c', 'd', 'e'].map((id) => createTarget(id));
    const choose = (order: readonly RegisteredTarget[], key: string): string => {
      const choice = chooseTarget(createChoiceOptions(order, key));
      return choice.kind === 'chosen' ? choice.target.id : '';
    };
    this.choices = Array.from({ length: 50 }, (_, index) => `part-${index * 7}`).map(
      (key) => [choose(targets, key), choose([...targets].reverse(), key)] as const,
    );
  },
);

Then('they choose the same target for each of 50 prompts', function then(this: TargetWorld) {
  this.choices.forEach(([first, second]) => assert.equal(first, second));
});

Then('no target is chosen for more than half of the prompts', function then(this: TargetWorld) {
  const counts = new Map<string, number>();
  this.choices.forEach(([id]) => counts.set(id, (counts.get(id) ?? 0) + 1));
  assert.ok(
    [...counts.values()].every((count) => count <= 25),
    JSON.stringify([...counts]),
  );
});

When('the only target is suspended', function when(this: TargetWorld) {
  this.lastChoice = chooseTarget({
    ...createChoiceOptions([createTarget('a')], 'part'),
    isSuspended: () => true,
  });
});

Then('it is chosen as a last resort', function then(this: TargetWorld) {
  assert.equal(this.lastChoice.kind === 'chosen' && this.lastChoice.reason, 'last-resort');
});
