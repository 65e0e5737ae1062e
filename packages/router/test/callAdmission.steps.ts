import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import { ManualClock, SmoothedDurations, TimerService } from '@galenatiller/timer';
import type { PriorityWait, RouteConfig } from '@galenatiller/types';

import { CallAdmission } from '../src/admission/index.js';
import type { AdmittedCall } from '../src/admitCall.js';
import { RouteTable } from '../src/routeTable.js';
import { BASE_ROUTE, CALL, CONFIGURATION } from './support.js';

interface AdmissionWorld {
  admissionRoute: RouteConfig;
  patienceMs: number;
  waits: readonly PriorityWait[];
  otherWaits: readonly PriorityWait[];
  meanLagMs: number;
  stageState: 'new' | 'late' | 'begun' | 'late-and-begun';
}

const BATCH = {
  maxPieces: 10,
  callOverheadMs: 400,
  pieceMs: 100,
  resultMemoryBytes: 1_000,
  resultTtlMs: 4_000,
};
const STAGES = [{ service: 'stage', dependsOn: [], resultBytes: 1 }];

Given(
  'a staged call of priority {int} that needs 500 ms, and whose caller waits for {int} ms',
  function given(this: AdmissionWorld, priority: number, patienceMs: number) {
    this.admissionRoute = { ...BASE_ROUTE, priority, stages: STAGES };
    this.patienceMs = patienceMs;
    this.waits = [];
    this.otherWaits = [];
    this.meanLagMs = 0;
    this.stageState = 'new';
  },
);

Given('a call without stages', function given(this: AdmissionWorld) {
  this.admissionRoute = BASE_ROUTE;
  this.patienceMs = 100;
});

Given(
  'at its stage service new pieces of priority {int} wait for {int} ms, the oldest for {int} ms',
  function given(this: AdmissionWorld, priority: number, waitMs: number, oldestMs: number) {
    this.waits = [{ priority, waitMs, oldestMs }];
  },
);

Given('timers are {int} ms late in the mean', function given(this: AdmissionWorld, lagMs: number) {
  this.meanLagMs = lagMs;
});

Given(
  /^(none|one) of its two stages has begun$/,
  function given(this: AdmissionWorld, begun: string) {
    this.stageState = begun === 'one' ? 'begun' : 'new';
  },
);

Given(
  'at another stage service the oldest piece of priority {int} has waited for {int} ms',
  function given(this: AdmissionWorld, priority: number, oldestMs: number) {
    this.otherWaits = [{ priority, waitMs: 0, oldestMs }];
  },
);

Given(
  /^the call (is late|may be on time|is late and begun)$/,
  function given(this: AdmissionWorld, lateness: string) {
    const lateState = lateness === 'is late' ? 'late' : 'late-and-begun';
    this.stageState = lateness === 'may be on time' ? 'new' : lateState;
  },
);

Then(
  /^its next stage is decided to (start|hold|give-up)$/,
  function then(this: AdmissionWorld, expected: string) {
    const { stageState, otherWaits } = this;
    const hasBegun = stageState === 'begun' || stageState === 'late-and-begun';
    const [first = assert.fail()] = STAGES;
    const chain = [first, { ...first, dependsOn: [0] }];
    const other = { ...first, service: 'other' };
    const route = { ...this.admissionRoute, stages: otherWaits.length ? [...chain, other] : chain };
    const decision = createAdmission(this, 0.5).decideStart({
      admitted: createAdmitted({ ...this, admissionRoute: route }),
      call: CALL,
      position: hasBegun ? 1 : 0,
      stageProgress: {
        isDone: (position) => hasBegun && position === 0,
        runningMs: () => 0,
      },
      latestStartAtMs: stageState.startsWith('late') ? -1 : 1,
    });
    assert.equal(decision, expected);
  },
);

Then('it is admitted', function then(this: AdmissionWorld) {
  assert.equal(findRefusal(this), undefined);
});

Then('it is refused as {string}', function then(this: AdmissionWorld, reason: string) {
  const refusal = findRefusal(this) ?? assert.fail('it was admitted');
  assert.equal(refusal.outcome, 'not-run');
  assert.ok(refusal.detail.includes(`as ${reason}`), refusal.detail);
});

Then('it should not be sent again', function then(this: AdmissionWorld) {
  assert.equal(findRefusal(this)?.retryAfterMs, 0);
});

Then(
  'its time to retry is between {int} and {int} ms, and not always the same',
  function then(this: AdmissionWorld, minMs: number, maxMs: number) {
    const times = [0, 0.3, 0.6, 0.99].map((random) => findRefusal(this, random)?.retryAfterMs ?? 0);
    times.forEach((timeMs) => assert.ok(timeMs >= minMs && timeMs <= maxMs, String(timeMs)));
    assert.equal(new Set(times).size, times.length);
  },
);

function findRefusal(
  world: AdmissionWorld,
  random = 0.5,
): ReturnType<CallAdmission['findRefusal']> {
  const admitted = createAdmitted(world);
  return createAdmission(world, random).findRefusal({ admitted, call: CALL });
}

function createAdmitted(world: AdmissionWorld): AdmittedCall {
  return {
    route: world.admissionRoute,
    service: 'service',
    organisation: '',
    priority: world.admissionRoute.priority,
    configurationVersion: 1,
    maxBodyBytes: 1,
    deadlineAtMs: 60_000,
    dueAtMs: 1_000,
    firstByteDeadlineAtMs: world.patienceMs,
  };
}

function createAdmission(world: AdmissionWorld, random: number): CallAdmission {
  const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 1_000_000 }) });
  const routes = RouteTable.create();
  const limits = { maxColdRequestsPerSecond: 0, batch: BATCH };
  const priorities = [0, 1, 2];
  routes.update({
    ...CONFIGURATION,
    routes: priorities.map((priority) => ({
      ...BASE_ROUTE,
      name: `route-${priority}`,
      pathPrefix: `/${priority}/`,
      priority,
      stages: STAGES,
    })),
    services: ['stage', 'other'].map((name) => ({ name, ...limits })),
  });
  return CallAdmission.create({
    timer,
    metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
    routes,
    responseTimes: SmoothedDurations.create(),
    findWaits: (service) => [service === 'other' ? world.otherWaits : world.waits],
    loopLag: { meanMs: world.meanLagMs },
    random: () => random,
  });
}
