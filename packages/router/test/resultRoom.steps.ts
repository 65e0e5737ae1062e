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

const WARM_UP_MS = 4_000;

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
  /^a result of (\d+) KB (of|beside) a chain was kept for less than (\d+) ms on average$/,
  function then(this: RoomWorld, kilobytes: string, of: string, maxMs: string) {
    const name = of === 'of' ? 'B' : 'C';
    const { results, keptMs } = this.simulation.countKept(name, Number(kilobytes) * 1_000);
    const meanMs = keptMs / results;
    assert.ok(results > 50 && meanMs < Number(maxMs), `${results} for ${meanMs} ms`);
  },
);

When(
  /^the calls (of chains|with large results) come in at ([\d.]+) times the usual rate for (\d+) s$/,
  async function when(this: RoomWorld, calls: string, factor: string, forS: string) {
    const name = calls === 'of chains' ? 'B' : 'A';
    await this.simulation.run(WARM_UP_MS);
    this.simulation.setTraffic(name, Number(factor));
    this.counted = await this.simulation.run(Number(forS) * 1_000);
    this.simulation.setTraffic(name, 1);
    await this.simulation.run(DRAIN_MS);
  },
);

Then(
  /^at least (\d+) % of the calls (of chains|with large results|beside a chain) were on time$/,
  function then(this: RoomWorld, percent: string, of: string) {
    const name = { 'of chains': 'B', 'with large results': 'A' }[of] ?? 'C';
    const { calls = 0, onTime = 0 } = this.counted.get(name) ?? {};
    assert.ok(onTime * 100 >= calls * Number(percent), `${onTime} of ${calls}`);
  },
);

Then(
  'less than {int} % of the calls to stage workers found no room',
  function then(this: RoomWorld, percent: number) {
    SERVICES(SCALE).forEach(({ name }) => {
      const { calls, callsWithoutRoom } = this.simulation.countWorkers(name);
      assert.ok(
        callsWithoutRoom * 100 < calls * percent,
        `${name}: ${callsWithoutRoom} of ${calls}`,
      );
    });
  },
);

Then(
  'fewer than {int} pieces found that their input was gone',
  function then(this: RoomWorld, pieces: number) {
    const gone = SERVICES(SCALE).map(({ name }) => this.simulation.countWorkers(name).inputsGone);
    assert.ok(Math.max(...gone) < pieces, gone.join(' '));
  },
);
