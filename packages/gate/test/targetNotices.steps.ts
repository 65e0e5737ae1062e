import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { createFixedLimit, pollEngine, runGeneration } from '@galenatiller/engine';
import {
  createFakeEngine,
  createFakePool,
  createFakeService,
  createSampleStageRequest,
  type FakeTarget,
  type FaultCommand,
} from '@galenatiller/fakes';
import { probeTargetProcess } from '@galenatiller/http';
import { findResultCodeByNumber } from '@galenatiller/error';
import { runPoolStage } from '@galenatiller/pool';
import { runServiceCall } from '@galenatiller/service';
import { TargetNotices } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, systemClock, TimerService } from '@galenatiller/timer';
import type { StageEnd, StageInput, TargetNotice } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { GateContext } from '../src/gateContext.js';
import { AimdLoadLimit } from '../src/loadLimit.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import type { RunOnTarget } from '../src/policy.js';
import { runStageRequest } from '../src/runStageRequest.js';
import { TargetAdmission } from '../src/targetAdmission.js';

interface GateNoticeWorld {
  gateClock: ManualClock;
  gateTimer: TimerService;
  admission: TargetAdmission;
  gateContext: GateContext;
  /** Number of requests that ran on the target. */
  gateRuns: number;
  answerRun: RunOnTarget;
  gateEnds: StageEnd[];
  fakeTarget: FakeTarget;
  fakeKind: string;
  readNotices: TargetNotice[];
}

const TARGET = {
  name: 'target-1',
  kind: 'engine' as const,
  group: 'drafter',
  version: 'v1',
  url: 'http://127.0.0.1:1',
  inFlightLimit: 1,
  coldInFlightLimit: 1,
  queueLimit: 8,
};
const RUN_MS = 50;
const GENERATE: StageInput = {
  kind: 'generate',
  prompt: 'one',
  maxTokens: 4,
  deliveredText: '',
  deliveredTokens: 0,
};

const runWell: RunOnTarget = () =>
  Promise.resolve(Result.ok({ kind: 'generate', tokens: 4, finishReason: 'length' }));

Given(
  'a gate with a target that runs one request at a time',
  function given(this: GateNoticeWorld) {
    this.gateClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.gateTimer = TimerService.create({ clock: this.gateClock });
    this.gateRuns = 0;
    this.gateEnds = [];
    this.answerRun = runWell;
    const timer = this.gateTimer;
    const run: RunOnTarget = async (opts) => {
      this.gateRuns += 1;
      await timer.sleep({ delayMs: RUN_MS });
      return this.answerRun(opts);
    };
    this.admission = TargetAdmission.create({
      settings: TARGET,
      timer,
      notices: TargetNotices.create({
        timer,
        random: () => 0,
        share: () => {},
        onEvent: () => {},
      }),
      queuePolicy: naiveQueuePolicy,
      concurrencyLimit: createFixedLimit({ inFlightLimit: 1 }),
      loadLimit: AimdLoadLimit.create({ maxInFlight: 1, minInFlight: 1 }),
      getWeight: () => 1,
    });
    this.admission.onStartId('start-1');
    this.gateContext = {
      targets: new Map([[TARGET.name, this.admission]]),
      runners: { engine: run, pool: run, service: run },
      probeTarget: () => Promise.resolve('alive'),
      timer,
      tasks: TaskGroup.create({ onFailure: () => {} }),
      record: () => {},
      availabilityZone: 'zone',
      readConfiguration: () => ({ revision: 1, zones: new Map() }),
      isLeaving: () => false,
      stoppedVersions: { has: () => false },
      crashGuard: { admit: () => 'run', onStarted: () => {}, onRunEnded: () => {} },
      runRecords: {},
    } as unknown as GateContext;
  },
);

function startRequest(world: GateNoticeWorld, remainingMs: number): void {
  runStageRequest({
    context: world.gateContext,
    request: { ...createSampleStageRequest(GENERATE), remainingMs },
    signal: new AbortController().signal,
    onPart: () => {},
  }).then(
    (end) => world.gateEnds.push(end),
    (error: unknown) => {
      throw error;
    },
  );
}

When(
  'a request runs there that brings the answer that the target is leaving',
  function when(this: GateNoticeWorld) {
    this.answerRun = (opts) => {
      opts.onNotice({ isLeaving: true }, 'start-1');
      return runWell(opts);
    };
    startRequest(this, 2_000);
  },
);

When(
  '{int} requests wait for the target meanwhile',
  async function when(this: GateNoticeWorld, requests: number) {
    Array.from({ length: requests }).forEach(() => startRequest(this, 2_000));
    await this.gateClock.advance({ byMs: 3 * RUN_MS });
  },
);

Then(
  'the requests that waited are refused as {string}, not run',
  function then(this: GateNoticeWorld, code: string) {
    assert.equal(this.gateRuns, 1);
    assert.deepEqual(this.gateEnds.map((end) => findResultCodeByNumber(end.code).name).sort(), [
      'ok',
      code,
      code,
      code,
    ]);
    assert.ok(
      this.gateEnds.every(({ outcome, code: number }) => number === 0 || outcome === 'not-run'),
    );
  },
);

Then('the target is reported as {string}', function then(this: GateNoticeWorld, state: string) {
  assert.equal(this.admission.buildReport().state, state);
});

When('the target reports another start', function when(this: GateNoticeWorld) {
  this.admission.onStartId('start-2');
});

When(
  'an answer of the start before says that the target is leaving',
  function when(this: GateNoticeWorld) {
    const notice = { isLeaving: true };
    this.admission.onNotice({ notice, startId: 'start-1', source: 'call' });
  },
);

Then('a request runs on the target', async function then(this: GateNoticeWorld) {
  const runs = this.gateRuns;
  this.answerRun = runWell;
  startRequest(this, 2_000);
  await this.gateClock.advance({ byMs: 2 * RUN_MS });
  assert.equal(this.gateRuns, runs + 1);
  assert.equal(this.admission.buildReport().state, 'ready');
});

When(
  'the target asks for a pause of {int} ms',
  function when(this: GateNoticeWorld, pauseMs: number) {
    const pause = { text: String(pauseMs / 1_000), valuesMs: [pauseMs] };
    const notice = { isLeaving: false, pause };
    this.admission.onNotice({ notice, startId: 'start-1', source: 'call' });
  },
);

When(
  'a request with {int} ms left arrives',
  async function when(this: GateNoticeWorld, remainingMs: number) {
    startRequest(this, remainingMs);
    await this.gateClock.advance({ byMs: 0 });
  },
);

Then('it has not run after {int} ms', async function then(this: GateNoticeWorld, byMs: number) {
  await this.gateClock.advance({ byMs });
  assert.equal(this.gateRuns, 0);
});

Then('the target may not be polled', function then(this: GateNoticeWorld) {
  assert.equal(this.admission.isPaused, true);
});

Then('it has run after {int} ms', async function then(this: GateNoticeWorld, byMs: number) {
  await this.gateClock.advance({ byMs: byMs - 390 });
  assert.equal(this.gateRuns, 1);
});

Then(
  'it is refused at once as {string}, not run, and should be retried after {int} ms',
  function then(this: GateNoticeWorld, code: string, retryAfterMs: number) {
    const [end] = this.gateEnds;
    assert.ok(end, 'it was not refused');
    assert.equal(findResultCodeByNumber(end.code).name, code);
    assert.equal(end.outcome, 'not-run');
    assert.equal(end.retryAfterMs, retryAfterMs);
    assert.equal(this.gateRuns, 0);
  },
);

Then(
  'the target is reported as paused for {int} ms',
  function then(this: GateNoticeWorld, pausedMs: number) {
    assert.equal(this.admission.buildReport().pausedMs, pausedMs);
  },
);

Given(
  /^a fake "([^"]*)" that has the fault "(.*)"$/,
  async function given(this: GateNoticeWorld, kind: string, faults: string) {
    const common = {
      timer: TimerService.create({ clock: systemClock }),
      port: 0,
      seed: 1,
      restartMs: 1,
      version: 'v1',
    };
    const work = { ...common, serviceMs: 1, concurrency: 2 };
    this.readNotices = [];
    this.fakeKind = kind;
    if (kind === 'pool') {
      this.fakeTarget = await createFakePool(work);
    } else if (kind === 'service') {
      this.fakeTarget = await createFakeService(work);
    } else {
      const speed = { baseMsPerToken: 1, slopeMsPerToken: 0, capacity: 4 };
      this.fakeTarget = await createFakeEngine({ ...common, speed });
    }
    faults
      .split(/ (?=\{)/)
      .forEach((fault) => this.fakeTarget.faults.apply(JSON.parse(fault) as FaultCommand));
  },
);

After({ tags: '@gate' }, function after(this: Partial<GateNoticeWorld>) {
  return this.fakeTarget?.close();
});

When('a request is sent to it', async function when(this: GateNoticeWorld) {
  const { url } = this.fakeTarget;
  const abort = new AbortController();
  const { signal } = abort;
  const onNotice = (notice: TargetNotice): void => {
    this.readNotices.push(notice);
  };
  const common = { url, signal, onNotice, onPart: () => {}, onStartId: () => {} };
  switch (this.fakeKind) {
    case 'pool':
      await runPoolStage({
        ...common,
        order: createSampleStageRequest({ kind: 'encode', texts: ['one'] }),
      });
      return;
    case 'service':
      await runServiceCall({
        ...common,
        order: createSampleStageRequest({ kind: 'call', body: {} }),
      });
      return;
    case 'load':
      await pollEngine({
        ...common,
        timer: TimerService.create({ clock: systemClock }),
        intervalMs: 500,
        onLoad: () => abort.abort(),
        onFailure: () => abort.abort(),
      });
      return;
    case 'probe':
      await probeTargetProcess({ ...common, knownStartId: '' });
      return;
    default:
      await runGeneration({ ...common, order: createSampleStageRequest(GENERATE) });
  }
});

Then('the notice {string} was read', function then(this: GateNoticeWorld, expected: string) {
  const found = this.readNotices.map(({ isLeaving, pause }) =>
    isLeaving ? 'leaving' : String(pause?.valuesMs[0] ?? ''),
  );
  assert.deepEqual(found, expected === 'none' ? [] : [expected]);
});
