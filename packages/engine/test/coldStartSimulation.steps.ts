import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { ColdStartLimit, createFixedLimit, type ConcurrencyLimit } from '@galenatiller/engine';
import type { TimerService } from '@galenatiller/timer';
import fc from 'fast-check';

import {
  COLD_LIMIT,
  COLD_MS,
  IN_FLIGHT_LIMIT,
  type SimulationCounts,
  simulateTarget,
} from './simulateTarget.js';

interface SimulationWorld {
  histories: readonly (readonly [readonly number[], readonly number[]])[];
}

const crashesAtMs = fc.array(fc.integer({ min: 1_000, max: 9_000 }), {
  minLength: 1,
  maxLength: 6,
});
const demandMs = fc.tuple(
  fc.integer({ min: 100, max: 3_000 }),
  fc.integer({ min: 0, max: 600 }),
  fc.integer({ min: 100, max: 3_000 }),
  fc.integer({ min: 0, max: 600 }),
);

Then(
  '{int} histories with crashes overload no target behind a cold start limit',
  function then(this: SimulationWorld, numRuns: number) {
    this.histories = fc.sample(fc.tuple(crashesAtMs, demandMs), { numRuns, seed: 19 });
    const counts = simulateAll(this, (timer) =>
      ColdStartLimit.create({
        timer,
        inFlightLimit: IN_FLIGHT_LIMIT,
        coldInFlightLimit: COLD_LIMIT,
        warmUpMs: COLD_MS,
      }),
    );
    counts.forEach(({ overloads, completedRuns }, index) => {
      assert.equal(overloads, 0, JSON.stringify(this.histories[index]));
      assert.ok(completedRuns > 0);
    });
  },
);

Then(
  'the naive fixed limit overloads the target in each of them',
  function then(this: SimulationWorld) {
    const createLimit = (): ConcurrencyLimit =>
      createFixedLimit({ inFlightLimit: IN_FLIGHT_LIMIT });
    simulateAll(this, createLimit).forEach(({ overloads }) => {
      assert.ok(overloads > 0);
    });
  },
);

function simulateAll(
  { histories }: SimulationWorld,
  createLimit: (timer: TimerService) => ConcurrencyLimit,
): readonly SimulationCounts[] {
  return histories.map(([crashes, demand]) =>
    simulateTarget({ crashesAtMs: crashes, demandMs: demand, createLimit }),
  );
}
