import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { CrashRegistry, type CrashRecord, computeFingerprint } from '@galenatiller/engine';
import { createSampleStageRequest } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';
import fc from 'fast-check';

interface LedgerWorld {
  ledgerClock: ManualClock;
  ledgers: ReadonlyMap<string, CrashRegistry>;
}

/** Time that records count in these tests. */
const TTL_MS = 1_000;

Given(
  'a crash ledger of gate {string} and one of gate {string}',
  function given(this: LedgerWorld, first: string, second: string) {
    this.ledgerClock = ManualClock.create({ startWallMs: 0 });
    const timer = TimerService.create({ clock: this.ledgerClock });
    this.ledgers = new Map(
      [first, second].map((gate) => [gate, CrashRegistry.create({ timer, ttlMs: TTL_MS })]),
    );
  },
);

When(
  'content {string} crashes target {string} at gate {string}',
  function when(this: LedgerWorld, content: string, targetName: string, gate: string) {
    this.ledgers.get(gate)?.record({ fingerprint: content, targetName });
  },
);

When('the crash ledgers of both gates exchange their records', function when(this: LedgerWorld) {
  const records = [...this.ledgers.values()].map((ledger) => ledger.records);
  this.ledgers.forEach((ledger) => {
    records.forEach((others) => {
      ledger.merge(others);
    });
  });
});

When('{int} ms pass for the crash ledgers', function when(this: LedgerWorld, byMs: number) {
  return this.ledgerClock.advance({ byMs });
});

Then(
  'content {string} is {string} at gate {string} and {string} at gate {string}',
  function then(this: LedgerWorld, content, firstVerdict, first, secondVerdict, second) {
    assert.equal(this.ledgers.get(first)?.findStatus(content), firstVerdict);
    assert.equal(this.ledgers.get(second)?.findStatus(content), secondVerdict);
  },
);

Then('{int} ways to merge crash records agree', (numRuns: number) => {
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
    const expected = recordsAfter([first, second, third]);
    const pair = recordsAfter([second, third]);
    assert.deepEqual(recordsAfter([third, second, first]), expected);
    assert.deepEqual(recordsAfter([first, pair]), expected);
    assert.deepEqual(recordsAfter([first, second, third, first, pair]), expected);
  });
  fc.assert(property, { numRuns, seed: 11 });
});

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

/** The records, in one order, of a ledger so small that it drops some. */
function recordsAfter(batches: readonly (readonly CrashRecord[])[]): readonly CrashRecord[] {
  const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 5 }) });
  const ledger = CrashRegistry.create({ timer, maxRecords: 4 });
  batches.forEach((batch) => {
    ledger.merge(batch);
  });
  const name = (record: CrashRecord): string => `${record.fingerprint} ${record.targetName}`;
  return [...ledger.records].sort((left, right) => name(left).localeCompare(name(right)));
}
