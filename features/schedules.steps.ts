import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { Verdict } from '@galenatiller/bench';
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
import type { FleetFault, FleetMechanisms, FleetSchedule } from './support/fleet/fleetTypes.js';

interface ScheduleWorld {
  verdict: Verdict;
}

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

When(
  'every gate is killed in turn during a store outage with zone {string} out',
  { timeout: 60_000 },
  async function when(this: ScheduleWorld, zone: string) {
    assert.equal(zone, 'east-a');
    const kill = (index: number, killedAtMs: number): FleetFault => ({
      kind: 'kill-gate',
      index,
      atMs: killedAtMs,
      forMs: 200,
    });
    this.verdict = await verdictOf(
      {
        seed: 5,
        faults: [
          { kind: 'zone-out', index: 0, atMs: 0, forMs: 25_000 },
          { kind: 'store-outage', index: 0, atMs: 500, forMs: 20_000 },
          kill(0, 1_000),
          kill(1, 4_000),
          kill(2, 7_000),
        ],
        requests: Array.from({ length: 12 }, (_, index) => ({
          route: index % 2 === 0 ? 'draft' : 'look-up',
          entryIndex: index % 2,
          key: index,
          atMs: 10_000 + index * 100,
        })),
      },
      STANDARD,
    );
  },
);

Then('every call after the outage began is answered', function then(this: ScheduleWorld) {
  assert.deepEqual([this.verdict.answered, this.verdict.refused], [12, 0]);
});

Then('no invariant is broken', function then(this: ScheduleWorld) {
  assert.deepEqual(this.verdict.violations, []);
});

async function violationsOf(schedule: FleetSchedule, mechanisms: FleetMechanisms) {
  return (await verdictOf(schedule, mechanisms)).violations;
}

async function verdictOf(schedule: FleetSchedule, mechanisms: FleetMechanisms): Promise<Verdict> {
  const generator = xoroshiro128plus(schedule.seed);
  const random = (): number => uniformFloat64(generator);
  return Fleet.run({ schedule, mechanisms, random });
}
