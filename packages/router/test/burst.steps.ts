import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { orderPieces, type OrderPieces } from '@galenatiller/pool';

import { CLASSES, orderByDueTime, SERVICES } from './burstLoad.js';
import { BurstSimulation } from './burstSimulation.js';
import type { BurstCall } from './burstTypes.js';

interface BurstWorld {
  order: OrderPieces;
  holdsNothing: boolean;
  burst: BurstSimulation | undefined;
  burstCalls: readonly BurstCall[];
  /** The same while stages start at once. */
  unheldCalls: readonly BurstCall[];
}

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
  this.holdsNothing = false;
});

Given('pieces are taken by the due time of their call', function given(this: BurstWorld) {
  this.order = orderByDueTime;
});

When(
  'calls of class {word} come 2.5 times as often for {int} s',
  TIMEOUT,
  async function when(this: BurstWorld, name: string, forS: number) {
    const burst = createBurst(this);
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
  'calls of class {word} come 2.5 times as often for {int} s, and again while stages start at once',
  TIMEOUT,
  async function when(this: BurstWorld, name: string, forS: number) {
    this.burstCalls = await runBurst({ ...this, holdsNothing: false }, name, forS);
    this.unheldCalls = await runBurst({ ...this, holdsNothing: true }, name, forS);
  },
);

Then(
  'holding calls saves at least {int} of 100 stage results of calls without a response',
  function then(this: BurstWorld, percent: number) {
    const held = countMade(this.burstCalls.filter(({ end }) => end === 'failed'));
    const unheld = countMade(this.unheldCalls.filter(({ end }) => end === 'failed'));
    assert.ok(held * 100 <= unheld * (100 - percent), `${held} instead of ${unheld}`);
  },
);

Then(
  'holding calls costs no class more than {int} of 100 responses',
  function then(this: BurstWorld, percent: number) {
    CLASSES.forEach(({ name }) => {
      const shares = [this.burstCalls, this.unheldCalls].map((calls) =>
        getShare(calls, name, ['on-time', 'late']),
      );
      const [held = 0, unheld = 0] = shares;
      assert.ok(held >= unheld - percent, `${name}: ${held} instead of ${unheld} of 100`);
    });
  },
);

async function runBurst(
  world: Pick<BurstWorld, 'order' | 'holdsNothing'>,
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

function createBurst({
  order,
  holdsNothing,
}: Pick<BurstWorld, 'order' | 'holdsNothing'>): BurstSimulation {
  return BurstSimulation.create({
    classes: CLASSES,
    services: SERVICES,
    order,
    holdsNothing,
    responseMs: 250,
    chooseOrganisation: (random) =>
      ORGANISATIONS[Math.floor(random() * ORGANISATIONS.length)] ?? '',
    seed: SEED,
  });
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
