import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { PrefixRelay, StatedEra } from '@galenatiller/store';
import {
  ColdRateLimiter,
  CrashSuspects,
  type TargetDirectory,
  TargetLoads,
  type TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import type { ManualClock, TimerService } from '@galenatiller/timer';

import { CrashDetector } from '../src/crashDetector.js';
import { createStages, type Stages } from '../src/createStages.js';
import { RouteTable } from '../src/routeTable.js';
import { createTarget } from './support.js';
import { createTestRollouts } from './testRollouts.js';

interface FreeWorld {
  stageClock: ManualClock;
  stageTimer: TimerService;
  stageTargets: TargetDirectory;
  stageNotices: TargetNotices;
  isFreeAnsweredLeaving: boolean;
  stageLoads: TargetLoads;
  /** When worker "a" is started again, seen from the answer to a free. */
  restart: string;
}

const ANSWER_MS = 50;

Given('the answer to a free says that its worker is leaving', function given(this: FreeWorld) {
  this.isFreeAnsweredLeaving = true;
});

function startAgain(world: FreeWorld): void {
  const target = { ...createTarget('a', 2), service: 'stage' };
  world.stageTargets.put({ id: 'a', target, storeRevision: 2 });
}

Given(
  /^(long|just) before the answer worker "a" is started again$/,
  function given(this: FreeWorld, restart: string) {
    this.restart = restart;
    if (restart === 'long') {
      startAgain(this);
    }
  },
);

function createNode(world: FreeWorld): Stages {
  const { stageTimer: timer, stageTargets: targets, stageNotices: notices } = world;
  const notUsed = (): Promise<never> => Promise.reject(new Error('not used'));
  world.stageLoads = TargetLoads.create({ timer, onEvent: () => {} });
  return createStages({
    settings: { nodeName: 'router-1', availabilityZone: 'zone' },
    timer,
    random: () => 0.5,
    coldRateLimiter: ColdRateLimiter.create({
      timer,
      nodeCount: () => 1,
      overFactor: 1,
      slackRequests: 0,
    }),
    evidenceAgeMs: () => 0,
    relay: PrefixRelay.create({ timer, storeEra: StatedEra.create({ onEvent: () => {} }) }),
    log: () => {},
    metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
    targetClient: {
      sendCall: notUsed,
      runPieces: notUsed,
      probe: notUsed,
      identify: notUsed,
      freeResults: async ({ targetId }) => {
        assert.equal(targetId, 'a');
        await timer.sleep({ delayMs: ANSWER_MS });
        if (world.restart === 'just') {
          startAgain(world);
        }
        const load = { running: 1, waiting: 0, relativeDuration: 3 };
        return { isLeaving: world.isFreeAnsweredLeaving, load };
      },
    },
    hash: (text) => text.length,
    routes: RouteTable.create(),
    targets,
    notices,
    loads: world.stageLoads,
    nodeCount: () => 1,
    tasks: TaskGroup.create({ onFailure: () => {} }),
    crashDetector: CrashDetector.create({ probe: notUsed, mayProbe: () => false }),
    crashSuspects: CrashSuspects.create({ timer, share: () => {}, onStopped: () => {} }),
    provider: {
      countRequest: () => {},
      addUsage: () => {},
      addLoad: () => {},
      onLinkOpened: () => {},
      reportGauges: () => {},
      run: () => Promise.resolve(),
    },
    rollouts: createTestRollouts(timer),
  });
}

When(
  'a result of worker {string} is freed through the node',
  async function when(this: FreeWorld, id: string) {
    createNode(this).submitter.free([`${createTarget(id).address}/handle`]);
    await this.stageClock.advance({ byMs: 4 * ANSWER_MS });
  },
);

When(
  "another router's link says that worker {string} is leaving",
  function when(this: FreeWorld, targetId: string) {
    const { start: targetStart } = toTargetStart(createTarget(targetId));
    createNode(this).peerService.mergeLeavingEvidence([{ targetId, targetStart, agoMs: 20 }]);
  },
);

Then(
  /^the present start of worker "([^"]*)" (may|may not) be sent to$/,
  function then(this: FreeWorld, workerId: string, expected: string) {
    const target = this.stageTargets.all().find(({ id }) => id === workerId) ?? assert.fail();
    assert.equal(this.stageNotices.canSend(toTargetStart(target)), expected === 'may');
  },
);

Then('the load of worker {string} is known', function then(this: FreeWorld, id: string) {
  assert.ok(this.stageLoads.find({ target: toTargetStart(createTarget(id)), workMs: 0 }));
});
