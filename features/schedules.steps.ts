import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { standardPolicy } from '@galenatiller/entry';
import {
  createMemoryRunRecords,
  createStoreRunRecords,
  standardPolicy as gatePolicy,
} from '@galenatiller/gate';
import { RunRecords } from '@galenatiller/store';
import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { Fleet } from './support/fleet/fleet.js';
import type { FleetMechanisms, FleetSchedule } from './support/fleet/fleetTypes.js';

const STANDARD: FleetMechanisms = {
  policy: standardPolicy,
  gatePolicy,
  createRunRecords: (opts) =>
    createStoreRunRecords({ records: RunRecords.create({ ...opts, groupWindowMs: 4 }) }),
};

const atMs = fc.integer({ min: 0, max: 8_000 });

const schedules: fc.Arbitrary<FleetSchedule> = fc.record({
  seed: fc.integer({ min: 0, max: 1_000_000 }),
  requests: fc.array(
    fc.record({
      route: fc.constantFrom('draft' as const, 'reserve' as const, 'look-up' as const),
      entryIndex: fc.nat({ max: 1 }),
      key: fc.nat({ max: 3 }),
      atMs,
    }),
    { minLength: 4, maxLength: 14 },
  ),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom(
        'kill-gate' as const,
        'pause-gate' as const,
        'kill-entry' as const,
        'pause-entry' as const,
        'cut-link' as const,
        'target-down' as const,
        'target-slow' as const,
        'lose-answers' as const,
        'break-streams' as const,
        'store-outage' as const,
        'store-slow' as const,
        'store-lose-answers' as const,
        'store-lose-requests' as const,
        'zone-out' as const,
      ),
      index: fc.nat({ max: 5 }),
      atMs,
      forMs: fc.integer({ min: 200, max: 6_000 }),
    }),
    { maxLength: 6 },
  ),
});

Then(
  '{int} schedules from seed {int} break no invariant',
  { timeout: 600_000 },
  async (count: number, seed: number) => {
    await fc.assert(
      fc.asyncProperty(schedules, async (schedule) => {
        assert.deepEqual(await violationsOf(schedule, STANDARD), []);
      }),
      { seed, numRuns: count, includeErrorInReport: true },
    );
  },
);

Then(
  'some schedule from seed {int} with run records in memory shows {string}',
  { timeout: 120_000 },
  async (seed: number, kind: string) => {
    const mechanisms = { ...STANDARD, createRunRecords: () => createMemoryRunRecords() };
    const shown = await fc.check(
      fc.asyncProperty(schedules, async (schedule) => {
        const violations = await violationsOf(schedule, mechanisms);
        return !violations.some((violation) => violation.kind === kind);
      }),
      { seed, numRuns: 400, endOnFailure: true },
    );
    assert.equal(shown.failed, true);
  },
);

async function violationsOf(schedule: FleetSchedule, mechanisms: FleetMechanisms) {
  const generator = xoroshiro128plus(schedule.seed);
  const random = (): number => uniformFloat64(generator);
  const verdict = await Fleet.run({ schedule, mechanisms, random });
  return verdict.violations;
}
