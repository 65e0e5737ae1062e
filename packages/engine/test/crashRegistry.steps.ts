import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { CrashRegistry, type CrashRecord, computeFingerprint } from '@galenatiller/engine';
import { createSampleStageRequest } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';
import fc from 'fast-check';

interface RegistryWorld {
  registryClock: ManualClock;
  registries: ReadonlyMap<string, CrashRegistry>;
}

/** Age at which records expire in these tests. */
const TTL_MS = 1_000;

Given(
  'a crash registry of gate {string} and one of gate {string}',
  function given(this: RegistryWorld, first: string, second: string) {
    this.registryClock = ManualClock.create({ startWallMs: 0 });
    const timer = TimerService.create({ clock: this.registryClock });
    this.registries = new Map(
      [first, second].map((gate) => [gate, CrashRegistry.create({ timer, ttlMs: TTL_MS })]),
    );
  },
);

When(
  'content {string} crashes target {string} at gate {string}',
  function when(this: RegistryWorld, content: string, targetName: string, gate: string) {
    this.registries.get(gate)?.record({ fingerprint: content, targetName });
  },
);

When(
  'the crash registries of both gates exchange their records',
  function when(this: RegistryWorld) {
    const records = [...this.registries.values()].map((registry) => registry.records);
    this.registries.forEach((registry) => {
      records.forEach((others) => {
        registry.merge(others);
      });
    });
  },
);

When('{int} ms pass for the crash registries', function when(this: RegistryWorld, byMs: number) {
  return this.registryClock.advance({ byMs });
});

Then(
  'content {string} is {string} at gate {string} and {string} at gate {string}',
  function then(this: RegistryWorld, content, firstStatus, first, secondStatus, second) {
    assert.equal(this.registries.get(first)?.findStatus(content), firstStatus);
    assert.equal(this.registries.get(second)?.findStatus(content), secondStatus);
  },
);

Then(
  'merging {int} random sets of crash records gives the same result in any order and grouping',
  (numRuns: number) => {
    const record = fc.record(
      {
        fingerprint: fc.constantFrom('p', 'q', 'r'),
        targetName: fc.constantFrom('t1', 't2', 't3'),
        atWallMs: fc.nat({ max: 5 }),
      },
      { noNullPrototype: true },
    );
    const batch = fc.array(record, { maxLength: 8 });
    const property = fc.property(batch, batch, batch, (first, second, third) => {
      const expected = mergeBatches([first, second, third]);
      const pair = mergeBatches([second, third]);
      assert.deepEqual(mergeBatches([third, second, first]), expected);
      assert.deepEqual(mergeBatches([first, pair]), expected);
      assert.deepEqual(mergeBatches([first, second, third, first, pair]), expected);
    });
    fc.assert(property, { numRuns, seed: 11 });
  },
);

Then(
  'a resumed attempt of the prompt {string} has the fingerprint of its first attempt',
  (prompt: string) => {
    const input = { kind: 'generate', prompt, maxTokens: 9 } as const;
    const first = createSampleStageRequest({ ...input, deliveredText: '', deliveredTokens: 0 });
    const resumed = createSampleStageRequest({
      ...input,
      deliveredText: 'w0 ',
      deliveredTokens: 1,
    });
    assert.equal(
      computeFingerprint({ ...resumed, attempt: 2, requestId: 'request-2' }),
      computeFingerprint(first),
    );
  },
);

Then(
  'the texts {string}, {string} and the texts {string}, {string} have different fingerprints',
  (first: string, second: string, third: string, fourth: string) => {
    const left = createSampleStageRequest({ kind: 'encode', texts: [first, second] });
    const right = createSampleStageRequest({ kind: 'encode', texts: [third, fourth] });
    assert.notEqual(computeFingerprint(left), computeFingerprint(right));
  },
);

/** Merges batches into a registry so small that it drops records; returns its records, sorted. */
function mergeBatches(batches: readonly (readonly CrashRecord[])[]): readonly CrashRecord[] {
  const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 5 }) });
  const registry = CrashRegistry.create({ timer, maxRecords: 4 });
  batches.forEach((batch) => {
    registry.merge(batch);
  });
  const key = (record: CrashRecord): string => `${record.fingerprint} ${record.targetName}`;
  return [...registry.records].sort((left, right) => key(left).localeCompare(key(right)));
}
