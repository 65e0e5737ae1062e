import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { TargetNotice } from '@galenatiller/types';

import type { SendCallOptions, SendResult } from '../src/ports.js';
import { createContext, createTarget, respond, type RouterWorld, startCall } from './support.js';

/** A target that leaves, starts again and turns calls away at random. */
interface SimulatedTarget {
  readonly id: string;
  start: number;
  leavesAtMs: number;
  pausesUntilMs: number;
  /** Time at which the router got an answer of this start that says that it is leaving. */
  saidLeavingAtMs: number;
  /** Pauses that the router was asked for, and the requests that arrived within them. */
  pauses: { readonly fromMs: number; readonly untilMs: number; arrivals: number }[];
}

interface SimulationWorld extends RouterWorld {
  random: () => number;
  simulated: Map<string, SimulatedTarget>;
  lateCalls: number;
  mostInPause: number;
  pauseCount: number;
  answers: number;
  laterAnswers: number;
  calls: number;
}

const RUN_MS = 6_000;
const TARGET_IDS = ['a', 'b', 'c', 'd'];

/** A request that was in flight when the target asked for a pause may arrive within this time. */
const PAUSE_SLACK_MS = 500;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

async function answer(world: SimulationWorld, opts: SendCallOptions): Promise<SendResult> {
  const { random, routerTimer: timer } = world;
  const target = world.simulated.get(opts.target.id) ?? assert.fail();
  const start = opts.target.startedWallMs;
  const arrivedAtMs = timer.nowMs();
  if (start !== target.start) {
    return { kind: 'moved', detail: 'started again' };
  }
  if (arrivedAtMs > target.saidLeavingAtMs) {
    world.lateCalls += 1;
  }
  target.pauses
    .filter(({ fromMs, untilMs }) => arrivedAtMs > fromMs && arrivedAtMs <= untilMs)
    .forEach((pause) => {
      pause.arrivals += 1;
      world.mostInPause = Math.max(world.mostInPause, pause.arrivals);
    });
  await timer.sleep({ delayMs: Math.floor(random() * 120) });
  const nowMs = timer.nowMs();
  const isLeaving = nowMs > target.leavesAtMs;
  if (isLeaving && start === target.start) {
    target.saidLeavingAtMs = Math.min(target.saidLeavingAtMs, nowMs);
  }
  if (nowMs < target.pausesUntilMs) {
    const pauseMs = target.pausesUntilMs - nowMs;
    if (pauseMs > PAUSE_SLACK_MS) {
      world.pauseCount += 1;
      const fromMs = nowMs + PAUSE_SLACK_MS;
      target.pauses.push({ fromMs, untilMs: nowMs + pauseMs, arrivals: 0 });
    }
    const pause = { text: String(pauseMs / 1_000), valuesMs: [pauseMs] };
    return { kind: 'refused', detail: 'turned away', notice: { isLeaving, pause } };
  }
  world.answers += 1;
  world.laterAnswers += start > 1 ? 1 : 0;
  const notice: TargetNotice | undefined = isLeaving ? { isLeaving } : undefined;
  const status = random() < 0.1 ? 404 : 200;
  return notice ? respond({ status, notice }) : respond({ status });
}

async function runSeed(world: SimulationWorld, seed: number): Promise<void> {
  world.random = createRandom(seed);
  world.routerClock = ManualClock.create({ startWallMs: 1_000_000 });
  world.routerTimer = TimerService.create({ clock: world.routerClock });
  world.targetIds = TARGET_IDS;
  world.simulated = new Map(
    TARGET_IDS.map((id) => [
      id,
      {
        id,
        start: 1,
        leavesAtMs: Infinity,
        pausesUntilMs: -Infinity,
        saidLeavingAtMs: Infinity,
        pauses: [],
      },
    ]),
  );
  world.context = createContext(world);
  world.fallback = (opts) => answer(world, opts);
  for (let passedMs = 0; passedMs < RUN_MS;) {
    changeOneTarget(world, seed);
    startCall(world, { path: world.random() < 0.5 ? '/safe/x' : '/order/x' });
    world.calls += 1;
    const byMs = 5 + Math.floor(world.random() * 60);
    passedMs += byMs;
    await world.routerClock.advance({ byMs });
  }
  await world.routerClock.advance({ byMs: 1_000 });
}

function changeOneTarget(world: SimulationWorld, seed: number): void {
  const { random, routerTimer: timer } = world;
  const chance = random();
  const target = world.simulated.get(TARGET_IDS[Math.floor(random() * TARGET_IDS.length)] ?? '');
  if (!target) {
    return;
  }
  const nowMs = timer.nowMs();
  if (chance < 0.02 && target.leavesAtMs === Infinity) {
    target.leavesAtMs = nowMs;
  } else if (chance < 0.06 && target.leavesAtMs < nowMs - 1_000) {
    target.start += 1;
    target.leavesAtMs = Infinity;
    target.saidLeavingAtMs = Infinity;
    target.pausesUntilMs = -Infinity;
    target.pauses = [];
    const { id, start } = target;
    const storeRevision = seed + start;
    world.context.targets.put({ id, target: createTarget(id, start), storeRevision });
  } else if (chance > 0.97) {
    target.pausesUntilMs = nowMs + 300 + random() * 2_000;
  }
}

When(
  'targets leave, pause and restart at random under calls in {int} seeded runs',
  { timeout: 120_000 },
  async function when(this: SimulationWorld, seeds: number) {
    this.lateCalls = 0;
    this.mostInPause = 0;
    this.pauseCount = 0;
    this.answers = 0;
    this.laterAnswers = 0;
    this.calls = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
      await runSeed(this, seed);
      this.sends = [];
    }
  },
);

Then(
  '{int} calls reached a leaving target after its bound',
  function then(this: SimulationWorld, expected: number) {
    assert.equal(this.lateCalls, expected);
  },
);

Then(
  'at most {int} requests reached a target within any pause',
  function then(this: SimulationWorld, most: number) {
    assert.ok(this.pauseCount > 100, `${this.pauseCount} pauses`);
    assert.ok(this.mostInPause <= most, `${this.mostInPause} requests`);
  },
);

Then(
  'over half of the calls were answered, some of them by targets that were started again',
  function then(this: SimulationWorld) {
    assert.ok(this.answers > this.calls / 2, `${this.answers} of ${this.calls}`);
    assert.ok(this.laterAnswers > 100, `${this.laterAnswers} answers`);
  },
);
