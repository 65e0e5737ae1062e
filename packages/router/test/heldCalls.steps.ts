import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { SmoothedDurations } from '@galenatiller/timer';

import type { StageStartDecision } from '../src/admission/index.js';
import { runStages } from '../src/runStages.js';
import { type StageStartEnd, waitForStart } from '../src/waitForStart.js';
import { BASE_ROUTE, CALL, createContext, type RouterWorld } from './support.js';
import { createStageService } from './testLimits.js';

interface HeldStageWorld {
  heldPositions: number[];
  waitedMs: number;
  startEnd: StageStartEnd;
}

Given(
  'new pieces wait for {int} ms at the stage workers',
  function given(this: RouterWorld, waitMs: number) {
    this.stageWaits = [{ priority: 0, waitMs, oldestMs: waitMs }];
    const { routes } = this;
    const configuration = routes.currentConfiguration() ?? assert.fail('no configuration');
    routes.update({
      ...configuration,
      version: configuration.version + 1,
      services: [createStageService(100)],
    });
  },
);

Given(
  'responses of targets took {int} ms, and each stage takes {int} ms',
  function given(this: RouterWorld, responseMs: number, stageMs: number) {
    this.responseTimes = SmoothedDurations.create();
    const nowMs = this.routerTimer.nowMs();
    this.responseTimes.observe({ name: 'service', durationMs: responseMs, nowMs });
    const context = createContext(this);
    this.context = {
      ...context,
      submitPiece: async (piece) => {
        await this.routerTimer.sleep({ delayMs: stageMs });
        return context.submitPiece(piece);
      },
    };
  },
);

Then('no stage of the call has begun', function then(this: RouterWorld) {
  assert.deepEqual(this.pieceInputs, []);
  assert.equal(this.sends.length, 0);
});

Then('only the first stage of the call has begun', function then(this: RouterWorld) {
  assert.deepEqual(this.pieceInputs, [[]]);
  assert.equal(this.sends.length, 0);
});

When(
  'a stage without inputs starts after another one has its results',
  async function when(this: { begun: (boolean | undefined)[] }) {
    const urgency = { latestStartAtMs: 0, remainingMs: 0, hasBegun: false, organisation: '' };
    const stage = { service: 'stage', dependsOn: [], resultBytes: 1 };
    const done: number[] = [];
    this.begun = [];
    await runStages({
      route: { ...BASE_ROUTE, stages: [stage, stage] },
      call: { ...CALL, stagePieces: [1, 1] },
      content: '',
      priority: 0,
      zoneHint: '',
      deadlinesAtMs: [],
      dueAtMs: 0,
      urgencies: [urgency, urgency],
      zoneWaitsUntilMs: [],
      nowMs: () => 0,
      resultTtlMs: () => 1,
      submit: ({ piece }) => {
        this.begun[piece.stage] = piece.urgency?.hasBegun;
        return Promise.resolve({ kind: 'made', handle: 'a/1' });
      },
      decideStart: () => 'start',
      startDelayMs: (position) => (position === 1 && done.length === 0 ? 1 : 0),
      onStageHeld: () => {},
      sleep: () => Promise.resolve(),
      onStageStarted: () => {},
      onStageDone: (position) => done.push(position),
      free: () => {},
      signal: new AbortController().signal,
    });
  },
);

Then(
  'its pieces go before those of new calls',
  function then(this: { begun: (boolean | undefined)[] }) {
    assert.deepEqual(this.begun, [false, true]);
  },
);

When(
  /^a stage is decided to hold twice, and then to (start|give-up)$/,
  async function when(this: HeldStageWorld, last: StageStartDecision) {
    const decisions: StageStartDecision[] = ['hold', 'hold', last];
    this.heldPositions = [];
    this.waitedMs = 0;
    this.startEnd = await waitForStart({
      position: 1,
      decideStart: () => decisions.shift() ?? assert.fail('decided on after its end'),
      startDelayMs: () => 0,
      onStageHeld: (position) => this.heldPositions.push(position),
      nowMs: () => this.waitedMs,
      sleep: ({ delayMs }) => {
        this.waitedMs += delayMs;
        return Promise.resolve();
      },
      signal: new AbortController().signal,
    });
  },
);

Then(
  /^it has (started|given-up) after (\d+) ms, and was recorded as held once$/,
  function then(this: HeldStageWorld, end: string, waitedMs: string) {
    assert.equal(this.startEnd.kind, end);
    assert.equal(this.waitedMs, Number(waitedMs));
    assert.deepEqual(this.heldPositions, [1]);
  },
);
