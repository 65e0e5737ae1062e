import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { TimerService } from '@galenatiller/timer';

import type { SendCallOptions, SendResult } from '../src/ports.js';
import { FleetWorld } from './fleetWorld.js';
import { respondAfter, type SeenCall, StopWorld, type Surroundings } from './stopWorld.js';
import { respond } from './support.js';

interface StoppingWorld {
  stopLimitMs: number;
  around: Surroundings;
  stopWorld: StopWorld | undefined;
  stoppedAtMs: number;
  stoppedCall: SeenCall;
}

const FAST_MS = 50;

Given(
  'a router that is killed {int} ms after it was asked to stop',
  function given(this: StoppingWorld, limitMs: number) {
    this.stopLimitMs = limitMs;
    this.stopWorld = undefined;
    this.around = {
      pieceMs: () => FAST_MS,
      sendCall: (opts, timer) => respondAfter(opts, timer, FAST_MS),
      evidenceAgeMs: () => 0,
      writeMs: 0,
      batchesEndAtMs: 0,
    };
  },
);

Given(
  'stage workers that take {int} ms for a piece',
  function given(this: StoppingWorld, pieceMs: number) {
    this.around = { ...this.around, pieceMs: () => pieceMs };
  },
);

Given('targets that never respond', function given(this: StoppingWorld) {
  const sendCall: Surroundings['sendCall'] = (opts, timer) => respondAfter(opts, timer, Infinity);
  this.around = { ...this.around, sendCall };
});

Given(
  'a connection that takes {int} ms to write a response',
  function given(this: StoppingWorld, writeMs: number) {
    const sendCall: Surroundings['sendCall'] = (opts, timer) => respondAfter(opts, timer, 6_050);
    this.around = { ...this.around, sendCall, writeMs };
  },
);

Given(
  'it has calls to stage workers that end {int} ms after the stop',
  function given(this: StoppingWorld, batchesEndAtMs: number) {
    this.around = { ...this.around, batchesEndAtMs };
  },
);

Given(
  'pieces of stages took {int} ms each until now',
  function given(this: StoppingWorld, pieceMs: number) {
    this.stopWorld = createWorld(this);
    this.stopWorld.observePieces(pieceMs);
  },
);

When(
  /^an? "(\w+)" call arrives, and the router is asked to stop (\d+) ms later$/,
  async function when(this: StoppingWorld, name: string, delayMs: number) {
    const world = createWorld(this);
    await world.clock.advance({ byMs: 1 });
    this.stoppedCall = world.makeCall({ path: `/${name}/x` });
    await world.clock.advance({ byMs: delayMs });
    this.stoppedAtMs = world.timer.nowMs();
    world.askToStop();
  },
);

When(
  /^the router is asked to stop, and an? "(\w+)" call arrives (\d+) ms later$/,
  async function when(this: StoppingWorld, name: string, delayMs: number) {
    const world = createWorld(this);
    await world.clock.advance({ byMs: 1 });
    this.stoppedAtMs = world.timer.nowMs();
    world.askToStop();
    await world.clock.advance({ byMs: delayMs });
    this.stoppedCall = world.makeCall({ path: `/${name}/x` });
  },
);

Then(
  /^within (\d+) ms of the stop the caller gets (\d+)( with a time to retry)?$/,
  async function then(this: StoppingWorld, withinMs: number, status: number, retry: string | null) {
    await advanceTo(this, withinMs);
    const { stoppedCall } = this;
    assert.equal(stoppedCall.end, 'refused', 'the call has no answer');
    assert.equal(stoppedCall.status, status);
    assert.equal(stoppedCall.isNotRun, status === 503);
    assert.equal(stoppedCall.retryAfterMs > 0, retry !== null);
  },
);

Then(
  'within {int} ms of the stop the caller gets the response of a target',
  async function then(this: StoppingWorld, withinMs: number) {
    await advanceTo(this, withinMs);
    assert.equal(this.stoppedCall.end, 'answered');
    assert.equal(this.stoppedCall.status, 200);
  },
);

Then(
  'within {int} ms of the stop the call is reported as {string}',
  async function then(this: StoppingWorld, withinMs: number, phase: string) {
    await advanceTo(this, withinMs);
    const { requestId } = this.stoppedCall;
    const stopped = createWorld(this).stopped.map((event) => [event.requestId, event.phase]);
    assert.deepEqual(stopped, [[requestId, phase]]);
  },
);

Then(
  'the router leaves the others between {int} ms and {int} ms after the stop',
  async function then(this: StoppingWorld, fromMs: number, untilMs: number) {
    await advanceTo(this, this.stopLimitMs);
    const { leftAtMs = Infinity } = createWorld(this);
    const afterMs = leftAtMs - this.stoppedAtMs;
    assert.ok(afterMs >= fromMs && afterMs <= untilMs, `${afterMs} ms`);
  },
);

Then('the call is not taken', function then(this: StoppingWorld) {
  assert.ok(!createWorld(this).seen.includes(this.stoppedCall));
});

Then('no target gets the call later', async function then(this: StoppingWorld) {
  const world = createWorld(this);
  await world.clock.advance({ byMs: 20_000 });
  assert.equal(world.sentAtMs.size, 0);
});

Then(
  'the response is written before the router closes its connections',
  async function then(this: StoppingWorld) {
    const world = createWorld(this);
    await world.clock.advance({ byMs: this.stopLimitMs });
    const { endedAtMs } = this.stoppedCall;
    assert.ok(endedAtMs !== undefined && world.closedAtMs !== undefined);
    assert.ok(endedAtMs <= world.closedAtMs, `${endedAtMs} ms, closed at ${world.closedAtMs} ms`);
  },
);

Then(
  'stops with random calls, slow stage workers and a store that is away keep to this with each seed from {int} to {int}',
  { timeout: 120_000 },
  async (first: number, last: number) => {
    for (let seed = first; seed <= last; seed += 1) {
      await checkRandomStop(seed);
    }
  },
);

Then(
  'series of stops of all routers keep to this with each seed from {int} to {int}',
  { timeout: 120_000 },
  async (first: number, last: number) => {
    for (let seed = first; seed <= last; seed += 1) {
      await checkRandomSeries(seed);
    }
  },
);

function createWorld(world: StoppingWorld): StopWorld {
  world.stopWorld ??= StopWorld.create({ limitMs: world.stopLimitMs, around: world.around });
  return world.stopWorld;
}

async function advanceTo(world: StoppingWorld, afterStopMs: number): Promise<void> {
  const { clock, timer } = createWorld(world);
  await clock.advance({ byMs: world.stoppedAtMs + afterStopMs - timer.nowMs() });
}

const LIMIT_MS = 8_000;
const STOP_AT_MS = 2_000;
const CALLS = 30;
const CALLS_IN_SERIES = 60;
const ROUTERS = 4;
const SERIES_MS = 14_500;
const KINDS = ['safe', 'order', 'stream', 'resumable', 'staged', 'staged', 'staged'];

async function checkRandomStop(seed: number): Promise<void> {
  const random = createRandom(seed);
  const slowness = 1 + random() * 20;
  const around: Surroundings = {
    pieceMs: () => slowness * (50 + random() * 400),
    sendCall: (opts, timer) => sendRandomly(opts, timer, random),
    // Beyond 5 s keys are not accepted, so some calls are refused for that.
    evidenceAgeMs: () => (seed % 4 === 0 ? random() * 6_000 : 0),
    writeMs: 0,
    batchesEndAtMs: 0,
  };
  const world = StopWorld.create({ limitMs: LIMIT_MS, around });
  const arrivals = Array.from({ length: CALLS }, () => Math.floor(random() * 7_000));
  arrivals.forEach((delayMs) => {
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? '';
    const stagePieces = [1 + Math.floor(random() * 3), Math.floor(random() * 4)];
    const notify = (): void => {
      world.makeCall({ path: `/${kind}/x`, stagePieces });
    };
    world.timer.after({ delayMs, notify });
  });
  world.timer.after({ delayMs: STOP_AT_MS, notify: () => world.askToStop() });
  await world.clock.advance({ byMs: STOP_AT_MS + LIMIT_MS });
  checkEnds(world, seed);
}

/** All routers stop in a series, and their calls share the stage workers. */
async function checkRandomSeries(seed: number): Promise<void> {
  const random = createRandom(seed);
  const slowness = 1 + random() * 6;
  const awayFromMs = random() * 8_000;
  const fleet = FleetWorld.create({
    routers: ROUTERS,
    limitMs: LIMIT_MS,
    random,
    callMs: () => slowness * (200 + random() * 100),
    around: {
      sendCall: (opts, timer) => sendRandomly(opts, timer, random),
      evidenceAgeMs: () => 0,
      writeMs: 0,
    },
    isStoreAway: (nowMs) => seed % 3 === 0 && nowMs > awayFromMs && nowMs < awayFromMs + 3_000,
  });
  const { timer } = fleet;
  Array.from({ length: CALLS_IN_SERIES }, () => Math.floor(random() * 9_000)).forEach((delayMs) => {
    const router = Math.floor(random() * ROUTERS);
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? '';
    const stagePieces = [1 + Math.floor(random() * 3), Math.floor(random() * 4)];
    const notify = (): void => {
      fleet.find(router)?.makeCall({ path: `/${kind}/x`, stagePieces });
    };
    timer.after({ delayMs, notify });
  });
  const gapMs = 300 + random() * 1_000;
  Array.from({ length: ROUTERS }, (_, router) => {
    const world = fleet.find(router);
    return timer.after({ delayMs: STOP_AT_MS + router * gapMs, notify: () => world?.askToStop() });
  });
  await fleet.clock.advance({ byMs: SERIES_MS });
  fleet.worlds.slice(0, ROUTERS).forEach((world, router) => {
    checkEnds(world, seed, STOP_AT_MS + router * gapMs);
  });
}

function checkEnds(world: StopWorld, seed: number, stopAtMs = STOP_AT_MS): void {
  assert.deepEqual(world.errors, []);
  const { closedAtMs = Infinity } = world;
  assert.ok(closedAtMs < stopAtMs + LIMIT_MS, `seed ${seed}: the process was killed`);
  world.seen.forEach((call) => {
    const name = `seed ${seed}, ${call.requestId}`;
    assert.ok(call.endedAtMs !== undefined, `${name} has no answer`);
    assert.ok(call.endedAtMs <= closedAtMs, `${name} was answered after the close`);
    assert.ok(call.end !== 'cut' || call.hasStarted, `${name} was cut before its response`);
    const isUntrue = call.isNotRun && world.ranIds.has(call.requestId);
    assert.ok(!isUntrue, `${name} was refused as not run and may have run`);
  });
}

/** A target that is slow, refuses, breaks or never ends its response. */
async function sendRandomly(
  opts: SendCallOptions,
  timer: TimerService,
  random: () => number,
): Promise<SendResult> {
  const draw = random();
  const delayMs = draw < 0.05 ? Infinity : 20 + random() * 1_500;
  if (draw > 0.9) {
    await timer.sleep({ delayMs: 20, signal: opts.signal });
    return { kind: 'refused', detail: 'scripted' };
  }
  if (draw > 0.85) {
    await timer.sleep({ delayMs, signal: opts.signal });
    return { kind: 'broken', detail: 'scripted' };
  }
  const response = await respondAfter(opts, timer, delayMs);
  if (response.kind !== 'answered' || !/stream|resumable/.test(opts.call.path)) {
    return response;
  }
  const gapMs = random() * 500;
  return respond({ body: createSlowEvents({ opts, timer, gapMs, events: 1 + random() * 20 }) });
}

async function* createSlowEvents(stream: {
  readonly opts: SendCallOptions;
  readonly timer: TimerService;
  readonly gapMs: number;
  readonly events: number;
}): AsyncGenerator<Buffer> {
  const { opts, timer, gapMs, events } = stream;
  for (let event = Number(opts.lastEventId || '0') + 1; event <= events; event += 1) {
    await timer.sleep({ delayMs: gapMs, signal: opts.signal });
    if (opts.signal.aborted) {
      throw new Error('aborted');
    }
    yield Buffer.from(`id: ${event}\ndata: x\n\n`);
  }
}

/** Linear congruential generator, the same on every machine. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
}
