import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { History, Verdict } from '@galenatiller/bench';
import { PREFIX_BLOCK_CHARS } from '@galenatiller/constants';
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

import { POISON_MARKER } from './support/simulation/simulatedTargets.js';
import { Simulation, type SimulationResult } from './support/simulation/simulation.js';
import type {
  ScheduledFault,
  SimulationMechanisms,
  SimulationSchedule,
} from './support/simulation/simulationTypes.js';

interface ScheduleWorld {
  history: History;
  verdict: Verdict;
  /** Whether the prompt of each request has the part that crashes engines. */
  arePoisoned: readonly boolean[];
}

const STANDARD_MECHANISMS: SimulationMechanisms = {
  policy: standardPolicy,
  gatePolicy,
  createRunRecords: (opts) =>
    createStoreRunRecords({ records: RunRecords.create({ ...opts, groupWindowMs: 4 }) }),
};

const arbitraryAtMs = fc.integer({ min: 0, max: 8_000 });

const arbitrarySchedule: fc.Arbitrary<SimulationSchedule> = fc.record({
  seed: fc.integer({ min: 0, max: 1_000_000 }),
  requests: fc.array(
    fc.record({
      route: fc.constantFrom('draft' as const, 'reserve' as const, 'look-up' as const),
      entryIndex: fc.nat({ max: 1 }),
      key: fc.nat({ max: 3 }),
      atMs: arbitraryAtMs,
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
      atMs: arbitraryAtMs,
      durationMs: fc.integer({ min: 200, max: 6_000 }),
    }),
    { maxLength: 6 },
  ),
});

/** A series of stops, one node after another, that overlap when the interval is short. */
const arbitraryStops: fc.Arbitrary<readonly ScheduledFault[]> = fc
  .record({
    kinds: fc.array(fc.constantFrom('stop-entry' as const, 'stop-gate' as const), {
      minLength: 1,
      maxLength: 8,
    }),
    firstIndex: fc.nat({ max: 5 }),
    startMs: fc.integer({ min: 0, max: 4_000 }),
    intervalMs: fc.integer({ min: 50, max: 1_500 }),
    durationMs: fc.integer({ min: 100, max: 1_500 }),
  })
  .map(({ kinds, firstIndex, startMs, intervalMs, durationMs }) =>
    kinds.map((kind, position) => ({
      kind,
      index: firstIndex + position,
      atMs: startMs + position * intervalMs,
      durationMs,
    })),
  );

const arbitraryTroubles: fc.Arbitrary<readonly ScheduledFault[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      'target-stuck' as const,
      'target-slow' as const,
      'target-down' as const,
      'pause-gate' as const,
      'cut-link' as const,
      'store-outage' as const,
      'store-slow' as const,
    ),
    index: fc.nat({ max: 5 }),
    atMs: arbitraryAtMs,
    durationMs: fc.integer({ min: 200, max: 6_000 }),
  }),
  { maxLength: 4 },
);

const arbitraryBurst: fc.Arbitrary<SimulationSchedule['requests']> = fc
  .record({ atMs: fc.integer({ min: 0, max: 6_000 }), count: fc.integer({ min: 4, max: 24 }) })
  .chain(({ atMs, count }) =>
    fc.array(
      fc.record({
        route: fc.constantFrom('draft' as const, 'reserve' as const, 'look-up' as const),
        entryIndex: fc.nat({ max: 1 }),
        key: fc.nat({ max: 40 }),
        atMs: fc.integer({ min: atMs, max: atMs + 600 }),
      }),
      { minLength: count, maxLength: count },
    ),
  );

const arbitraryStopSchedule: fc.Arbitrary<SimulationSchedule> = fc
  .record({
    seed: fc.integer({ min: 0, max: 1_000_000 }),
    bursts: fc.array(arbitraryBurst, { minLength: 1, maxLength: 2 }),
    stops: arbitraryStops,
    troubles: arbitraryTroubles,
  })
  .map(({ seed, bursts, stops, troubles }) => ({
    seed,
    requests: bursts.flat(),
    faults: [...stops, ...troubles],
  }));

Then(
  '{int} schedules of stops from seed {int} have no violations',
  { timeout: 600_000 },
  async (count: number, seed: number) => {
    await fc.assert(
      fc.asyncProperty(arbitraryStopSchedule, async (schedule) => {
        assert.deepEqual(await findViolations(schedule, STANDARD_MECHANISMS), []);
      }),
      { seed, numRuns: count, includeErrorInReport: true },
    );
  },
);

Then(
  '{int} schedules from seed {int} have no violations',
  { timeout: 600_000 },
  async (count: number, seed: number) => {
    await fc.assert(
      fc.asyncProperty(arbitrarySchedule, async (schedule) => {
        assert.deepEqual(await findViolations(schedule, STANDARD_MECHANISMS), []);
      }),
      { seed, numRuns: count, includeErrorInReport: true },
    );
  },
);

Then(
  'some schedule from seed {int} with run records in memory has a violation of kind {string}',
  { timeout: 120_000 },
  async (seed: number, kind: string) => {
    const mechanisms = { ...STANDARD_MECHANISMS, createRunRecords: () => createMemoryRunRecords() };
    const details = await fc.check(
      fc.asyncProperty(arbitrarySchedule, async (schedule) => {
        const violations = await findViolations(schedule, mechanisms);
        return !violations.some((violation) => violation.kind === kind);
      }),
      { seed, numRuns: 400, endOnFailure: true },
    );
    assert.equal(details.failed, true);
  },
);

When(
  'every gate is killed in turn during a store outage with zone {string} out',
  { timeout: 60_000 },
  async function when(this: ScheduleWorld, zone: string) {
    assert.equal(zone, 'east-a');
    const kill = (index: number, killedAtMs: number): ScheduledFault => ({
      kind: 'kill-gate',
      index,
      atMs: killedAtMs,
      durationMs: 200,
    });
    const result = await runSchedule(
      {
        seed: 5,
        faults: [
          { kind: 'zone-out', index: 0, atMs: 0, durationMs: 25_000 },
          { kind: 'store-outage', index: 0, atMs: 500, durationMs: 20_000 },
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
      STANDARD_MECHANISMS,
    );
    this.verdict = result.verdict;
  },
);

Then('every call after the outage began is answered', function then(this: ScheduleWorld) {
  assert.deepEqual([this.verdict.answered, this.verdict.refused], [12, 0]);
});

Then('the history has no violations', function then(this: ScheduleWorld) {
  assert.deepEqual(this.verdict.violations, []);
});

When(
  '{int} drafts with a part that crashes engines come among {int} that share their other parts',
  { timeout: 60_000 },
  async function when(this: ScheduleWorld, poisoned: number, sound: number) {
    const total = poisoned + sound;
    this.arePoisoned = Array.from(
      { length: total },
      (_, index) => index % (total / poisoned) === 0,
    );
    const requests = this.arePoisoned.map((isPoisoned, index) => ({
      route: 'draft' as const,
      entryIndex: Math.floor(index / 2) % 2,
      key: index,
      atMs: index * 100,
      prompt: ['shared', isPoisoned ? POISON_MARKER : 'sound', `own ${index}`]
        .map(createPart)
        .join(''),
    }));
    const result = await runSchedule({ seed: 11, faults: [], requests }, STANDARD_MECHANISMS);
    this.history = result.history;
    this.verdict = result.verdict;
  },
);

Then(
  'at most {int} runs of drafts with that part reached engines',
  function then(this: ScheduleWorld, maxRuns: number) {
    const runs = selectPoisoned(this.arePoisoned, this.history.requests).flatMap(({ requestId }) =>
      this.history.runs.filter((run) => run.requestId === requestId),
    );
    assert.ok(runs.length <= maxRuns, `${runs.length} runs`);
  },
);

Then(
  'at least {int} of the others are answered',
  function then(this: ScheduleWorld, minAnswered: number) {
    assert.ok(this.verdict.answered >= minAnswered, `${this.verdict.answered} answered`);
  },
);

function createPart(text: string): string {
  return text.padEnd(PREFIX_BLOCK_CHARS, '.');
}

function selectPoisoned(
  arePoisoned: readonly boolean[],
  requests: History['requests'],
): History['requests'] {
  return requests.filter((_, index) => arePoisoned[index]);
}

async function findViolations(schedule: SimulationSchedule, mechanisms: SimulationMechanisms) {
  return (await runSchedule(schedule, mechanisms)).verdict.violations;
}

async function runSchedule(
  schedule: SimulationSchedule,
  mechanisms: SimulationMechanisms,
): Promise<SimulationResult> {
  const generator = xoroshiro128plus(schedule.seed);
  const random = (): number => uniformFloat64(generator);
  return Simulation.run({ schedule, mechanisms, random });
}
