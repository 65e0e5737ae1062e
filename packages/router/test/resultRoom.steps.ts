import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { CLASSES, SERVICES } from './roomLoads.js';
import { RoomSimulation } from './roomSimulation.js';
import type { ClassCounts } from './roomTypes.js';

interface RoomWorld {
  simulation: RoomSimulation;
  counted: ReadonlyMap<string, ClassCounts>;
}

const SCALE = 1 / 3;
const SEED = 1;

/** Time in which the calls that were counted end. */
const DRAIN_MS = 8_000;

Given("stage workers at a third of a deployment's size", function given(this: RoomWorld) {
  this.simulation = RoomSimulation.create({
    services: SERVICES(SCALE),
    classes: CLASSES(SCALE),
    seed: SEED,
    sizeSpread: 0.1,
  });
});

After({ tags: '@resultRoom' }, function after(this: RoomWorld) {
  this.simulation.end();
});

When('the usual calls come in for {int} s', async function when(this: RoomWorld, forS: number) {
  this.counted = await this.simulation.run(forS * 1_000);
  await this.simulation.run(DRAIN_MS);
});

Then(
  'a large result beside a chain was kept for less than {int} ms on average',
  function then(this: RoomWorld, maxMs: number) {
    const { results, keptMs } = this.simulation.countLarge('C');
    assert.ok(results > 50 && keptMs / results < maxMs, `${results} for ${keptMs / results} ms`);
  },
);

Then(
  'at least {int} % of the calls beside a chain were on time',
  function then(this: RoomWorld, percent: number) {
    const { calls = 0, onTime = 0 } = this.counted.get('C') ?? {};
    assert.ok(onTime * 100 >= calls * percent, `${onTime} of ${calls}`);
  },
);
