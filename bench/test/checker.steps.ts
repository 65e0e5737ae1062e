import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  type CallEffect,
  checkHistory,
  type History,
  type RequestRecord,
  type TargetRun,
} from '@galenatiller/bench';

interface CheckerWorld {
  history: History;
}

type HistoryChange = (history: History) => History;

const ZONE_OUT_MS = 10_000;

const first = createRequest({ requestId: 'r1', text: 'w0-aa w1-aa w2-aa ' });
const second = createRequest({ requestId: 'r2', text: 'w0-bb w1-bb w2-bb ' });
const refused: RequestRecord = {
  ...createRequest({ requestId: 'r3', text: '' }),
  expected: 'w0-cc ',
  end: { kind: 'refused', code: 2004, outcome: 'not-run' },
};
const atMostOnceCall: RequestRecord = {
  ...createRequest({ requestId: 'r4', text: 'receipt' }),
  runKey: 'k1',
  atMostOnce: true,
};
const atMostOnceEffect: CallEffect = { requestId: 'r4', runKey: 'k1', atWallMs: 5 };
const lateRun: TargetRun = { ...createRun('r1'), startedWallMs: ZONE_OUT_MS + 3_001 };
const zoneOut = { availabilityZone: 'north-a', state: 'out' as const, atWallMs: ZONE_OUT_MS };

const HISTORY_CHANGES: Readonly<Record<string, HistoryChange>> = {
  'a request is not answered': changeRequest('r1', {
    end: { kind: 'unanswered', detail: 'cut' },
    text: 'w0-aa ',
  }),
  'a response is incomplete': changeRequest('r1', { text: 'w0-aa w1-aa ' }),
  'a response is empty': changeRequest('r1', { text: '' }),
  'two responses are swapped': (history) =>
    changeRequest('r2', { text: first.text })(changeRequest('r1', { text: second.text })(history)),
  'a response has a word of another one': changeRequest('r1', { text: 'w0-aa w1-bb w2-aa ' }),
  'a body has the id of another request': changeRequest('r1', { bodyRequestId: 'r2' }),
  'a word is duplicated': changeRequest('r1', { text: 'w0-aa w1-aa w1-aa w2-aa ' }),
  'a refused stream has a word of another one': changeRequest('r3', { text: 'w0-bb ' }),
  'a key has two effects': (history) => ({
    ...history,
    effects: [atMostOnceEffect, atMostOnceEffect],
  }),
  'a second request with a key has an effect': (history) => ({
    ...history,
    requests: [...history.requests, { ...atMostOnceCall, requestId: 'r5', bodyRequestId: 'r5' }],
    effects: [atMostOnceEffect, { ...atMostOnceEffect, requestId: 'r5' }],
  }),
  'an answered at-most-once call has no effect': (history) => ({ ...history, effects: [] }),
  'the refused request ran a stage': withRun(createRun('r3')),
  'a run starts too late after its zone was taken out': (history) => ({
    ...withRun(lateRun)(history),
    zoneChanges: [zoneOut],
  }),
  'a cold engine is overloaded': (history) => ({ ...history, coldOverloads: 1 }),
  'a run starts shortly after its zone was taken out': (history) => ({
    ...withRun({ ...lateRun, startedWallMs: ZONE_OUT_MS + 3_000 })(history),
    zoneChanges: [zoneOut],
  }),
  'a run starts after its zone was put back in': (history) => ({
    ...withRun(lateRun)(history),
    zoneChanges: [zoneOut, { ...zoneOut, state: 'in', atWallMs: ZONE_OUT_MS + 3_001 }],
  }),
  'the refused request may have run a stage': (history) =>
    changeRequest('r3', { end: { kind: 'refused', code: 2002, outcome: 'may-have-run' } })(
      withRun(createRun('r3'))(history),
    ),
  'a second request with a key gets the receipt': (history) => ({
    ...history,
    requests: [...history.requests, { ...atMostOnceCall, requestId: 'r5', bodyRequestId: 'r5' }],
  }),
  'a call without a key has two effects': (history) => ({
    ...history,
    effects: [
      atMostOnceEffect,
      { ...atMostOnceEffect, runKey: '' },
      { ...atMostOnceEffect, runKey: '' },
    ],
  }),
};

Given(
  'a bench history of two answered requests, one refusal and one at-most-once call',
  function given(this: CheckerWorld) {
    this.history = {
      requests: [first, second, refused, atMostOnceCall],
      runs: ['r1', 'r2', 'r4'].map(createRun),
      effects: [atMostOnceEffect],
      zoneChanges: [],
      coldOverloads: 0,
    };
  },
);

When(
  'the bench history is changed so that {string}',
  function when(this: CheckerWorld, name: string) {
    const applyChange = HISTORY_CHANGES[name];
    assert.ok(applyChange, `unknown history change "${name}"`);
    this.history = applyChange(this.history);
  },
);

Then('the checker counts {string}', function then(this: CheckerWorld, counts: string) {
  const { answered, refused: refusals, lost, doubled, crossed } = checkHistory(this.history);
  assert.equal(
    `${answered} answered, ${refusals} refused, ${lost} lost, ${doubled} doubled, ${crossed} crossed`,
    counts,
  );
});

Then('the checker reports no violations', function then(this: CheckerWorld) {
  assert.deepEqual(checkHistory(this.history).violations, []);
});

Then(
  'the checker reports only violations of kind {string}',
  function then(this: CheckerWorld, kind: string) {
    const kinds = checkHistory(this.history).violations.map((violation) => violation.kind);
    assert.deepEqual([...new Set<string>(kinds)], [kind]);
  },
);

function createRequest(opts: { readonly requestId: string; readonly text: string }): RequestRecord {
  return {
    ...opts,
    bodyRequestId: opts.requestId,
    organisation: 'lautoka-floor',
    route: 'quick-question',
    runKey: '',
    atMostOnce: false,
    issuedWallMs: 0,
    expected: opts.text,
    end: { kind: 'answered' },
  };
}

function createRun(requestId: string): TargetRun {
  return {
    requestId,
    stageIndex: 0,
    attempt: 0,
    startedWallMs: 1,
    targetName: 'drafter-1',
    availabilityZone: 'north-a',
  };
}

function changeRequest(requestId: string, fields: Partial<RequestRecord>): HistoryChange {
  return (history) => ({
    ...history,
    requests: history.requests.map((record) =>
      record.requestId === requestId ? { ...record, ...fields } : record,
    ),
  });
}

function withRun(added: TargetRun): HistoryChange {
  return (history) => ({ ...history, runs: [...history.runs, added] });
}
