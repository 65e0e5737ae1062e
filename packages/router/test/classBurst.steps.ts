import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { orderByDueTime } from './burstLoad.js';
import { CLASSES, SERVICES } from './roomLoads.js';
import { RoomSimulation } from './roomSimulation.js';
import { type ClassCounts, createCounts, type RoomSimulationOptions } from './roomTypes.js';

interface ClassBurstWorld {
  /** What is switched off, of what decides in an overload. */
  withoutPart: Partial<RoomSimulationOptions>;
  usual: Map<string, ClassCounts>;
  inBurst: Map<string, ClassCounts>;
  afterwards: Map<string, ClassCounts>;
}

const PARTS: Readonly<Record<string, Partial<RoomSimulationOptions>>> = {
  'the order': { order: orderByDueTime },
  'holding calls': { holdsNothing: true },
  'early rejection': { givesUpNothing: true },
};

const SCALE = 1 / 3;
/** Calls on time differ by a few in 100 between seeds. */
const SEEDS = [1, 2, 3];
const WARM_UP_MS = 4_000;
const USUAL_MS = 10_000;
const RECOVERY_MS = 5_000;
const DRAIN_MS = 20_000;
const BURST_FACTOR = 2.5;
const TIMEOUT = { timeout: 120_000 };

Given(
  "stage workers at a third of a deployment's size, with all parts",
  function given(this: ClassBurstWorld) {
    this.withoutPart = {};
  },
);

Given(
  "stage workers at a third of a deployment's size, without {}",
  function given(this: ClassBurstWorld, part: string) {
    this.withoutPart = PARTS[part] ?? assert.fail(`unknown part ${part}`);
  },
);

When(
  'all calls come in at 2.5 times the usual rate for {int} s',
  TIMEOUT,
  async function when(this: ClassBurstWorld, forS: number) {
    this.usual = new Map();
    this.inBurst = new Map();
    this.afterwards = new Map();
    for (const seed of SEEDS) {
      const classes = CLASSES(SCALE);
      const simulation = RoomSimulation.create({
        services: SERVICES(SCALE),
        classes,
        seed,
        sizeSpread: 0.1,
        ...this.withoutPart,
      });
      await simulation.run(WARM_UP_MS);
      const usual = await simulation.run(USUAL_MS);
      classes.forEach(({ name }) => simulation.setTraffic(name, BURST_FACTOR));
      const inBurst = await simulation.run(forS * 1_000);
      classes.forEach(({ name }) => simulation.setTraffic(name, 1));
      await simulation.run(RECOVERY_MS);
      const afterwards = await simulation.run(RECOVERY_MS);
      await simulation.run(DRAIN_MS);
      simulation.end();
      addCounts(this.usual, usual);
      addCounts(this.inBurst, inBurst);
      addCounts(this.afterwards, afterwards);
    }
  },
);

Then(
  /^at (least|most) (\d+) % of A, (\d+) % of B and (\d+) % of C calls were on time$/,
  function then(this: ClassBurstWorld, side: string, a: string, b: string, c: string) {
    const percents = [a, b, c];
    ['A', 'B', 'C'].forEach((name, index) => {
      const share = getShare(this.inBurst.get(name) ?? createCounts(), ['onTime']);
      const limit = Number(percents[index]);
      assert.ok(side === 'least' ? share >= limit : share <= limit, `${share} % of ${name}`);
    });
  },
);

Then(
  /^(at least|less than) (\d+) % of the calls beside a chain got a response$/,
  function then(this: ClassBurstWorld, side: string, percent: string) {
    const share = getShare(this.inBurst.get('C') ?? createCounts(), ['onTime', 'late']);
    assert.equal(share >= Number(percent), side === 'at least', `${share} %`);
  },
);

Then(
  /^(at most|more than) (\d+) % of the calls of the burst ended without an answer$/,
  function then(this: ClassBurstWorld, side: string, percent: string) {
    const share = getShare(sumCounts(this.inBurst), ['expired']);
    assert.equal(share <= Number(percent), side === 'at most', `${share} %`);
  },
);

Then(
  'from 5 s after the burst on calls were on time as often as {int} % of before it',
  function then(this: ClassBurstWorld, percent: number) {
    const before = getShare(sumCounts(this.usual), ['onTime']);
    const after = getShare(sumCounts(this.afterwards), ['onTime']);
    assert.ok(after * 100 >= before * percent, `${after} % after ${before} %`);
  },
);

function addCounts(
  sums: Map<string, ClassCounts>,
  counted: ReadonlyMap<string, ClassCounts>,
): void {
  counted.forEach((counts, name) => {
    const sum = sums.get(name) ?? createCounts();
    const keys: readonly (keyof ClassCounts)[] = ['calls', 'onTime', 'late', 'failed', 'expired'];
    keys.forEach((key) => {
      sum[key] += counts[key];
    });
    sums.set(name, sum);
  });
}

function sumCounts(counted: ReadonlyMap<string, ClassCounts>): ClassCounts {
  const total = new Map<string, ClassCounts>();
  counted.forEach((counts) => addCounts(total, new Map([['all', counts]])));
  return total.get('all') ?? createCounts();
}

function getShare(counts: ClassCounts, ends: readonly (keyof ClassCounts)[]): number {
  return (100 * ends.reduce((sum, end) => sum + counts[end], 0)) / counts.calls;
}
