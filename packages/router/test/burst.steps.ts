import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { orderPieces, type OrderPieces } from '@galenatiller/pool';

import { CLASSES, orderByDueTime, SERVICES } from './burstLoad.js';
import { type BurstCall, BurstSimulation } from './burstSimulation.js';

interface BurstWorld {
  order: OrderPieces;
  hasAdmission: boolean;
  burst: BurstSimulation | undefined;
  burstCalls: readonly BurstCall[];
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
  this.hasAdmission = true;
});

Given('pieces are taken by the due time of their call', function given(this: BurstWorld) {
  this.order = orderByDueTime;
});

Given('no call is refused on arrival', function given(this: BurstWorld) {
  this.hasAdmission = false;
});

When(
  'calls of class {word} come 2.5 times as often for {int} s',
  TIMEOUT,
  async function when(this: BurstWorld, name: string, forS: number) {
    const burst = BurstSimulation.create({
      classes: CLASSES,
      services: SERVICES,
      order: this.order,
      hasAdmission: this.hasAdmission,
      responseMs: 250,
      chooseOrganisation: (random) =>
        ORGANISATIONS[Math.floor(random() * ORGANISATIONS.length)] ?? '',
      seed: SEED,
    });
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

Then(
  /^at (least|most) (\d+) of 100 stage results of the burst are for calls without a response$/,
  TIMEOUT,
  async function then(this: BurstWorld, side: string, percent: string) {
    await this.burst?.run(PATIENCE_MS - MEASURED_MS);
    const made = countMade(this.burstCalls);
    const unused = countMade(this.burstCalls.filter(({ end }) => end === 'failed'));
    const share = (100 * unused) / made;
    const holds = side === 'least' ? share >= Number(percent) : share <= Number(percent);
    assert.ok(holds, `${share.toFixed(1)} of 100 results are for calls without a response`);
  },
);

function countMade(calls: readonly BurstCall[]): number {
  return calls.reduce((sum, { made }) => sum + made, 0);
}

function getShare(calls: readonly BurstCall[], name: string): number {
  const ofClass = calls.filter((call) => call.name === name);
  return (100 * ofClass.filter(({ end }) => end === 'on-time').length) / ofClass.length;
}
