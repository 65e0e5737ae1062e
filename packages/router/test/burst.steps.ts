import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { orderPieces, type OrderPieces } from '@galenatiller/pool';

import { CLASSES, orderByDueTime, SERVICES } from './burstLoad.js';
import { BurstSimulation } from './burstSimulation.js';
import type { BurstCall, BurstOptions } from './burstTypes.js';

interface BurstWorld {
  order: OrderPieces;
  burst: BurstSimulation | undefined;
  burstCalls: readonly BurstCall[];
  /** The same without refusals on arrival. */
  unrefusedCalls: readonly BurstCall[];
}

type BurstPolicy = Pick<BurstOptions, 'order' | 'refusesNothing'>;

const TIMEOUT = { timeout: 120_000 };
const SEED = 20_261_206;
const WARM_UP_MS = 3_000;
const BURST_FACTOR = 2.5;
const MEASURED_MS = 5_000;
/** The longest time that a caller waits. */
const PATIENCE_MS = 8_000;
const ORGANISATIONS = ['north', 'south', 'west'];

Given('the usual load of A, B and C calls', function given(this: BurstWorld) {
  this.order = orderPieces;
});

Given('pieces are taken by the due time of their call', function given(this: BurstWorld) {
  this.order = orderByDueTime;
});

When(
  'calls of class {word} come 2.5 times as often for {int} s',
  TIMEOUT,
  async function when(this: BurstWorld, name: string, forS: number) {
    const burst = createBurst({ ...this, refusesNothing: false });
    this.burst = burst;
    await burst.run(WARM_UP_MS);
    burst.setTraffic(name, BURST_FACTOR);
    this.burstCalls = await burst.run(forS * 1_000);
    burst.setTraffic(name, 1);
    await burst.run(MEASURED_MS);
  },
);

After(async function after(this: Partial<BurstWorld>) {
  await this.burst?.end();
});

Then(
  /^at (least|most) (\d+) of 100 calls of class (\w+) in the burst are on time$/,
  TIMEOUT,
  async function then(this: BurstWorld, side: string, percent: string, name: string) {
    // Callers of the burst have their answer, or have left.
    await this.burst?.run(PATIENCE_MS - MEASURED_MS);
    const share = getShare(this.burstCalls, name);
    const holds = side === 'least' ? share >= Number(percent) : share <= Number(percent);
    assert.ok(holds, `${share.toFixed(1)} of 100 are on time`);
  },
);

Then(
  'from 5 s after the burst on at least 95 of 100 calls of each class are on time',
  TIMEOUT,
  async function then(this: BurstWorld) {
    const burst = this.burst ?? assert.fail('no burst');
    const calls = await burst.run(MEASURED_MS);
    await burst.run(PATIENCE_MS);
    CLASSES.forEach(({ name }) => {
      const share = getShare(calls, name);
      assert.ok(share >= 95, `${share.toFixed(1)} of 100 calls of class ${name} are on time`);
    });
  },
);

When(
  'calls of class {word} come 2.5 times as often for {int} s, and again without refusals on arrival',
  TIMEOUT,
  async function when(this: BurstWorld, name: string, forS: number) {
    this.burstCalls = await runBurst({ ...this, refusesNothing: false }, name, forS);
    this.unrefusedCalls = await runBurst({ ...this, refusesNothing: true }, name, forS);
  },
);

Then(
  'refusals save at least {int} of 100 stage results of calls without a response',
  function then(this: BurstWorld, percent: number) {
    const refused = countMade(this.burstCalls.filter(isUnanswered));
    const unrefused = countMade(this.unrefusedCalls.filter(isUnanswered));
    assert.ok(refused * 100 <= unrefused * (100 - percent), `${refused} instead of ${unrefused}`);
  },
);

Then(
  'refusals cost classes {word} and {word} at most {int} of 100 responses',
  function then(this: BurstWorld, first: string, second: string, percent: number) {
    [first, second].forEach((name) => {
      const [refused = 0, unrefused = 0] = [this.burstCalls, this.unrefusedCalls].map((calls) =>
        getShare(calls, name, ['on-time', 'late']),
      );
      assert.ok(
        refused >= unrefused - percent,
        `${name}: ${refused} instead of ${unrefused} of 100`,
      );
    });
  },
);

Then(
  'calls of class {word} without a response end in at most {int} of 100 of the time',
  function then(this: BurstWorld, name: string, percent: number) {
    const [refusedMs = 0, unrefusedMs = 0] = [this.burstCalls, this.unrefusedCalls].map((calls) =>
      computeMeanMs(calls.filter((call) => call.name === name && isUnanswered(call))),
    );
    assert.ok(
      refusedMs * 100 <= unrefusedMs * percent,
      `${refusedMs} ms instead of ${unrefusedMs} ms`,
    );
  },
);

async function runBurst(
  world: BurstPolicy,
  name: string,
  forS: number,
): Promise<readonly BurstCall[]> {
  const burst = createBurst(world);
  await burst.run(WARM_UP_MS);
  burst.setTraffic(name, BURST_FACTOR);
  const calls = await burst.run(forS * 1_000);
  burst.setTraffic(name, 1);
  await burst.run(PATIENCE_MS);
  await burst.end();
  return calls;
}

function createBurst({ order, refusesNothing }: BurstPolicy): BurstSimulation {
  return BurstSimulation.create({
    classes: CLASSES,
    services: SERVICES,
    order,
    refusesNothing,
    responseMs: 250,
    chooseOrganisation: (random) =>
      ORGANISATIONS[Math.floor(random() * ORGANISATIONS.length)] ?? '',
    seed: SEED,
  });
}

function isUnanswered({ end }: BurstCall): boolean {
  return end === 'failed' || end === 'refused';
}

function computeMeanMs(calls: readonly BurstCall[]): number {
  const totalMs = calls.reduce((sum, call) => sum + call.endedAtMs - call.arrivedAtMs, 0);
  return totalMs / calls.length;
}

function countMade(calls: readonly BurstCall[]): number {
  return calls.reduce((sum, { made }) => sum + made, 0);
}

function getShare(
  calls: readonly BurstCall[],
  name: string,
  ends: readonly BurstCall['end'][] = ['on-time'],
): number {
  const ofClass = calls.filter((call) => call.name === name);
  return (100 * ofClass.filter(({ end }) => ends.includes(end)).length) / ofClass.length;
}
