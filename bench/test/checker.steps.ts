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

type Mutation = (history: History) => History;

const ORDER_MS = 10_000;

const first = request({ requestId: 'r1', text: 'w0-aa w1-aa w2-aa ' });
const second = request({ requestId: 'r2', text: 'w0-bb w1-bb w2-bb ' });
const refused: RequestRecord = {
  ...request({ requestId: 'r3', text: '' }),
  expected: 'w0-cc ',
  end: { kind: 'refused', code: 2004, outcome: 'not-run' },
};
const reorder: RequestRecord = {
  ...request({ requestId: 'r4', text: 'receipt' }),
  runKey: 'k1',
  atMostOnce: true,
};
const effect: CallEffect = { requestId: 'r4', runKey: 'k1', atWallMs: 5 };
const lateRun: TargetRun = { ...run('r1'), startedWallMs: ORDER_MS + 3_001 };
const order = { availabilityZone: 'north-a', state: 'out' as const, atWallMs: ORDER_MS };

const MUTATIONS: Readonly<Record<string, Mutation>> = {
  'a request has no end': change('r1', {
    end: { kind: 'unanswered', detail: 'cut' },
    text: 'w0-aa ',
  }),
  'an answer breaks off': change('r1', { text: 'w0-aa w1-aa ' }),
  'an answer is empty': change('r1', { text: '' }),
  'two answers change places': (history) =>
    change('r2', { text: first.text })(change('r1', { text: second.text })(history)),
  'an answer holds a word of another': change('r1', { text: 'w0-aa w1-bb w2-aa ' }),
  'a body has the id of another request': change('r1', { bodyRequestId: 'r2' }),
  'a word comes twice': change('r1', { text: 'w0-aa w1-aa w1-aa w2-aa ' }),
  'a refused stream brought a foreign word': change('r3', { text: 'w0-bb ' }),
  'a key has two effects': (history) => ({ ...history, effects: [effect, effect] }),
  'a repeated key has a second effect': (history) => ({
    ...history,
    requests: [...history.requests, { ...reorder, requestId: 'r5', bodyRequestId: 'r5' }],
    effects: [effect, { ...effect, requestId: 'r5' }],
  }),
  'an answered reorder has no effect': (history) => ({ ...history, effects: [] }),
  'the refused request ran a stage': addRun(run('r3')),
  'a run starts late in a zone that is out': (history) => ({
    ...addRun(lateRun)(history),
    zoneOrders: [order],
  }),
  'a cold engine is overloaded': (history) => ({ ...history, coldOverloads: 1 }),
  'a run starts soon after a zone is out': (history) => ({
    ...addRun({ ...lateRun, startedWallMs: ORDER_MS + 3_000 })(history),
    zoneOrders: [order],
  }),
  'a run starts after the zone is in again': (history) => ({
    ...addRun(lateRun)(history),
    zoneOrders: [order, { ...order, state: 'in', atWallMs: ORDER_MS + 3_001 }],
  }),
  'the refused request may have run a stage': (history) =>
    change('r3', { end: { kind: 'refused', code: 2002, outcome: 'may-have-run' } })(
      addRun(run('r3'))(history),
    ),
  'a repeated key gets the first answer': (history) => ({
    ...history,
    requests: [...history.requests, { ...reorder, requestId: 'r5', bodyRequestId: 'r5' }],
  }),
  'a call without a key has two effects': (history) => ({
    ...history,
    effects: [effect, { ...effect, runKey: '' }, { ...effect, runKey: '' }],
  }),
};

Given(
  'a bench history of two answered requests, one refusal and one reorder',
  function given(this: CheckerWorld) {
    this.history = {
      requests: [first, second, refused, reorder],
      runs: ['r1', 'r2', 'r4'].map(run),
      effects: [effect],
      zoneOrders: [],
      coldOverloads: 0,
    };
  },
);

When(
  'the bench history is changed so that {string}',
  function when(this: CheckerWorld, name: string) {
    const mutate = MUTATIONS[name];
    assert.ok(mutate, `no mutation ${name}`);
    this.history = mutate(this.history);
  },
);

Then('the checker counts {string}', function then(this: CheckerWorld, counts: string) {
  const { answered, refused: refusals, lost, doubled, crossed } = checkHistory(this.history);
  assert.equal(
    `${answered} answered, ${refusals} refused, ${lost} lost, ${doubled} doubled, ${crossed} crossed`,
    counts,
  );
});

Then('the checker finds nothing', function then(this: CheckerWorld) {
  assert.deepEqual(checkHistory(this.history).violations, []);
});

Then('the checker finds only {string}', function then(this: CheckerWorld, kind: string) {
  const kinds = checkHistory(this.history).violations.map((violation) => violation.kind);
  assert.deepEqual([...new Set<string>(kinds)], [kind]);
});

function request(opts: { readonly requestId: string; readonly text: string }): RequestRecord {
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

function run(requestId: string): TargetRun {
  return {
    requestId,
    stageIndex: 0,
    attempt: 0,
    startedWallMs: 1,
    targetName: 'drafter-1',
    availabilityZone: 'north-a',
  };
}

function change(requestId: string, fields: Partial<RequestRecord>): Mutation {
  return (history) => ({
    ...history,
    requests: history.requests.map((record) =>
      record.requestId === requestId ? { ...record, ...fields } : record,
    ),
  });
}

function addRun(added: TargetRun): Mutation {
  return (history) => ({ ...history, runs: [...history.runs, added] });
}
