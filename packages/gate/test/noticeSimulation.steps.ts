import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import {
  createScriptedGate,
  runWell,
  type ScriptedGateWorld,
  startRequest,
} from './scriptedGate.js';

interface SimulationWorld extends ScriptedGateWorld {
  lateRequests: number;
  requestsInPause: number;
  pauses: number;
  laterRuns: number;
}

const RUN_MS = 8_000;
const SLOTS = 3;

/** Time until the gate learns that its target was started again. */
const POLL_MS = 200;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

async function runSeed(world: SimulationWorld, seed: number): Promise<void> {
  const random = createRandom(seed);
  createScriptedGate(world, SLOTS);
  const { gateTimer: timer, gateClock: clock, admission } = world;
  let start = 1;
  let isLeaving = false;
  let hasSaidLeaving = false;
  let isFullUntilMs = -Infinity;
  let pausedUntilMs = -Infinity;
  world.onArrival = () => {
    const nowMs = timer.nowMs();
    world.lateRequests += hasSaidLeaving ? 1 : 0;
    world.requestsInPause += nowMs < pausedUntilMs ? 1 : 0;
    world.laterRuns += start > 1 ? 1 : 0;
  };
  world.answerRun = (opts) => {
    const nowMs = timer.nowMs();
    hasSaidLeaving ||= isLeaving;
    const pauseMs = isFullUntilMs - nowMs;
    const pause = { text: String(pauseMs / 1_000), valuesMs: [pauseMs] };
    if (pauseMs > 0) {
      world.pauses += 1;
      pausedUntilMs = Math.max(pausedUntilMs, isFullUntilMs);
      opts.onNotice({ isLeaving, pause }, `start-${start}`);
      const detail = 'overloaded';
      return Promise.resolve(
        Result.err(GalenatillerError.create({ name: 'target-refused', detail })),
      );
    }
    if (isLeaving) {
      opts.onNotice({ isLeaving }, `start-${start}`);
    }
    return runWell(opts);
  };
  for (let passedMs = 0; passedMs < RUN_MS;) {
    const chance = random();
    if (chance < 0.02) {
      isLeaving = true;
    } else if (chance < 0.06 && hasSaidLeaving) {
      start += 1;
      isLeaving = false;
      hasSaidLeaving = false;
      isFullUntilMs = -Infinity;
      pausedUntilMs = -Infinity;
      const startId = `start-${start}`;
      timer.after({ delayMs: POLL_MS, notify: () => admission.onStartId(startId) });
    } else if (chance > 0.97) {
      isFullUntilMs = timer.nowMs() + 100 + random() * 1_500;
    }
    startRequest(world, 200 + random() * 2_000);
    const byMs = 5 + Math.floor(random() * 50);
    passedMs += byMs;
    await clock.advance({ byMs });
  }
  await clock.advance({ byMs: 3_000 });
}

When(
  'targets of gates leave, pause and restart at random in {int} seeded runs',
  { timeout: 120_000 },
  async function when(this: SimulationWorld, seeds: number) {
    this.lateRequests = 0;
    this.requestsInPause = 0;
    this.pauses = 0;
    this.laterRuns = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
      await runSeed(this, seed);
    }
  },
);

Then(
  '{int} requests reached a leaving target after its answer',
  function then(this: SimulationWorld, expected: number) {
    assert.equal(this.lateRequests, expected);
  },
);

Then(
  '{int} requests reached a target within a pause',
  function then(this: SimulationWorld, expected: number) {
    assert.ok(this.pauses > 100, `${this.pauses} pauses`);
    assert.equal(this.requestsInPause, expected);
  },
);

Then('requests ran on targets that were started again', function then(this: SimulationWorld) {
  assert.ok(this.laterRuns > 100, `${this.laterRuns} requests`);
});
