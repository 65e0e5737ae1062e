import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  followCacheEvents,
  pollEngine,
  runGeneration,
  sendEngineOrder,
} from '@galenatiller/engine';
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
import { systemClock, TimerService } from '@galenatiller/timer';
import type { TargetNotice } from '@galenatiller/types';

import {
  createScriptedGate,
  GENERATE,
  RUN_MS,
  runWell,
  type ScriptedGateWorld,
  startRequest,
} from './scriptedGate.js';

interface GateNoticeWorld extends ScriptedGateWorld {
  fakeTarget: FakeTarget;
  fakeKind: string;
  readNotices: TargetNotice[];
}

Given(
  'a gate with a target that runs one request at a time',
  function given(this: GateNoticeWorld) {
    createScriptedGate(this, 1);
  },
);

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
    this.admission.onStartId('start-1');
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
    case 'order':
      await sendEngineOrder({
        ...common,
        order: { kind: 'load-version', name: 'v2', fencingNumber: 1 },
      });
      return;
    case 'events':
      await followCacheEvents({
        ...common,
        timer: TimerService.create({ clock: systemClock }),
        retryDelayMs: 1,
        onNotice: (notice) => {
          onNotice(notice);
          abort.abort();
        },
        onEvent: () => {},
        onFailure: () => {},
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
