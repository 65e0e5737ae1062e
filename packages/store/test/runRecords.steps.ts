import assert from 'node:assert/strict';
import { setMaxListeners } from 'node:events';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  advanceUntil,
  createFixtureClient,
  createStoreFixture,
  type StoreFixture,
} from '@galenatiller/fakes';
import { type ClaimResult, RunRecords } from '@galenatiller/store';
import type { StageEnd } from '@galenatiller/types';
import fc from 'fast-check';

interface RunWorld {
  runFixture: StoreFixture;
  gates: Map<string, RunRecords>;
  runStop?: AbortController;
  claimResult: string;
  claimDurationMs: number;
  retryResult: Promise<string>;
  claims: string[];
  transactions: number;
}

const WINDOW_MS = 5;

function createGate(
  fixture: StoreFixture,
  opts: { readonly nodeName: string; readonly signal: AbortSignal; readonly windowMs?: number },
): RunRecords {
  const { nodeName, signal, windowMs: groupWindowMs = WINDOW_MS } = opts;
  const records = RunRecords.create({
    store: createFixtureClient(fixture, { callsPerSecond: 100_000 }),
    timer: fixture.timer,
    nodeName,
    incarnation: `${nodeName} 1`,
    groupWindowMs,
  });
  records.run({ signal }).catch(() => {});
  return records;
}

function createStageEnd(detail: string): StageEnd {
  return { outcome: 'ran', code: 0, detail, retryAfterMs: 0, queueMs: 0, runMs: 1 };
}

async function claim(records: RunRecords, runKey: string, bodyDigest = 'b'): Promise<string> {
  const claimResult = await records.claim({
    organisation: 'o',
    runKey,
    bodyDigest,
    requestId: 'r',
  });
  return claimResult.match({
    Ok: (result: ClaimResult) =>
      result.kind === 'answered' ? `answered ${result.end.detail}` : (result.kind as string),
    Err: (error) => `${error.codeName}, ${error.outcome}`,
  });
}

function getGate(world: RunWorld, name: string): RunRecords {
  const gate = world.gates.get(name);
  assert.ok(gate);
  return gate;
}

Given(
  'the gates {string} and {string} with run records',
  function given(this: RunWorld, first: string, second: string) {
    this.runFixture = createStoreFixture();
    this.runStop = new AbortController();
    const { signal } = this.runStop;
    this.gates = new Map(
      [first, second].map((nodeName) => [
        nodeName,
        createGate(this.runFixture, { nodeName, signal }),
      ]),
    );
  },
);

After(function after(this: RunWorld) {
  this.runStop?.abort();
});

When(
  'gate {string} claims the run {string} for the body {string}',
  async function when(this: RunWorld, name: string, runKey: string, body: string) {
    const startMs = this.runFixture.timer.nowMs();
    this.claimResult = await advanceUntil(
      this.runFixture.clock,
      claim(getGate(this, name), runKey, body),
    );
    this.claimDurationMs = this.runFixture.timer.nowMs() - startMs;
  },
);

When('gate {string} has claimed a run before', async function when(this: RunWorld, name: string) {
  await advanceUntil(this.runFixture.clock, claim(getGate(this, name), 'before'));
});

When(
  'a retry of the run {string} waits at gate {string}',
  async function when(this: RunWorld, runKey: string, name: string) {
    this.retryResult = claim(getGate(this, name), runKey);
    await this.runFixture.clock.advance({ byMs: 50 });
  },
);

When(
  'gate {string} completes the run {string} with the detail {string}',
  async function when(this: RunWorld, name: string, runKey: string, detail: string) {
    const run = { organisation: 'o', runKey, bodyDigest: 'b', end: createStageEnd(detail) };
    await advanceUntil(this.runFixture.clock, getGate(this, name).complete(run));
  },
);

When(
  'gate {string} releases the run {string}',
  async function when(this: RunWorld, name: string, runKey: string) {
    const released = getGate(this, name).releaseNotRun({ organisation: 'o', runKey });
    await advanceUntil(this.runFixture.clock, released);
  },
);

When(
  'the next {int} responses to run records are lost',
  function when(this: RunWorld, count: number) {
    this.runFixture.fakeStore.setFaults({ loseAnswers: count });
  },
);

When('the run record store becomes unavailable', function when(this: RunWorld) {
  this.runFixture.fakeStore.setFaults({ outage: true });
});

When('the run record store hangs', function when(this: RunWorld) {
  this.runFixture.fakeStore.setFaults({ slowMs: 60_000 });
});

When('the leases of the run records expire', function when(this: RunWorld) {
  this.runFixture.fakeStore.state.expireLeases();
});

When('the run record store recovers', function when(this: RunWorld) {
  this.runFixture.fakeStore.setFaults({ outage: false });
});

When('{int} ms pass at the run records', async function when(this: RunWorld, byMs: number) {
  await this.runFixture.clock.advance({ byMs });
});

When(
  'gate {string} claims {int} runs at once',
  async function when(this: RunWorld, name: string, count: number) {
    const before = this.runFixture.fakeStore.getCallCounts().txn ?? 0;
    const gate = getGate(this, name);
    const claims = Array.from({ length: count }, (_, number) => claim(gate, `k${number}`));
    this.claims = await advanceUntil(this.runFixture.clock, Promise.all(claims));
    this.transactions = (this.runFixture.fakeStore.getCallCounts().txn ?? 0) - before;
  },
);

Then('the claim result is {string}', function then(this: RunWorld, expected: string) {
  assert.equal(this.claimResult, expected);
});

Then(
  'the claim result is {string} within {int} ms',
  function then(this: RunWorld, expected: string, limitMs: number) {
    assert.equal(this.claimResult, expected);
    assert.ok(this.claimDurationMs <= limitMs, `${this.claimDurationMs} ms`);
  },
);

Then('the retry result is {string}', async function then(this: RunWorld, expected: string) {
  assert.equal(await advanceUntil(this.runFixture.clock, this.retryResult), expected);
});

Then(
  '{int} of the claims have the result {string} after {int} transactions',
  function then(this: RunWorld, count: number, expected: string, transactions: number) {
    assert.equal(this.claims.filter((result) => result === expected).length, count);
    assert.equal(this.transactions, transactions);
  },
);

const faultStep = fc.record({
  loseAnswers: fc.nat(5),
  loseRequests: fc.nat(5),
  outage: fc.boolean(),
  slowMs: fc.constantFrom(0, 0, 3, 1_200),
  claims: fc.array(fc.record({ gate: fc.nat(2), run: fc.nat(2), ends: fc.nat(2) }), {
    maxLength: 4,
  }),
  forMs: fc.nat(1_500),
});

type Ending = 'complete' | 'release' | 'abandon';

Then(
  'over {int} seeded fault schedules no run is dispatched twice and no result is of another run',
  async (numRuns: number) => {
    const property = fc.asyncProperty(fc.array(faultStep, { maxLength: 10 }), async (schedule) => {
      const fixture = createStoreFixture();
      const stop = new AbortController();
      const gates = ['A', 'B', 'C'].map((nodeName) =>
        createGate(fixture, { nodeName, signal: stop.signal }),
      );
      const dispatched = new Map<string, number>();
      const tasks: Promise<void>[] = [];
      const request = async (
        records: RunRecords,
        runKey: string,
        ending: Ending,
      ): Promise<void> => {
        const result = await claim(records, runKey);
        assert.ok(!result.startsWith('answered') || result === `answered ${runKey}`);
        if (result !== 'first') {
          return;
        }
        const name = { organisation: 'o', runKey, bodyDigest: 'b' };
        if (ending === 'release') {
          await records.releaseNotRun(name);
          return;
        }
        dispatched.set(runKey, (dispatched.get(runKey) ?? 0) + 1);
        await fixture.timer.sleep({ delayMs: 30 });
        if (ending === 'complete') {
          await records.complete({ ...name, end: createStageEnd(runKey) });
        } else {
          records.abandon(name);
        }
      };
      for (const { forMs, claims, ...faults } of schedule) {
        fixture.fakeStore.setFaults(faults);
        claims.forEach(({ gate, run, ends }) => {
          const ending = (['complete', 'release', 'abandon'] as const)[ends] ?? 'complete';
          tasks.push(request(gates[gate] as RunRecords, `run ${run}`, ending));
        });
        await fixture.clock.advance({ byMs: forMs });
      }
      fixture.fakeStore.setFaults({ outage: false, loseAnswers: 0, loseRequests: 0, slowMs: 0 });
      await advanceUntil(fixture.clock, Promise.all(tasks));
      // After the faults every run is requested once more.
      const retries = gates.flatMap((records) =>
        [0, 1, 2].map((run) => request(records, `run ${run}`, 'complete')),
      );
      await advanceUntil(fixture.clock, Promise.all(retries));
      stop.abort();
      dispatched.forEach((times, runKey) => {
        assert.equal(times, 1, runKey);
      });
    });
    await fc.assert(property, { numRuns, seed: 31 });
  },
);

Then(
  '{int} % of {int} requests a second over {int} gates in windows of {int} ms take at most {float} calls a request',
  async (share: number, perSecond: number, gateCount: number, windowMs: number, limit: number) => {
    const fixture = createStoreFixture();
    const stop = new AbortController();
    const { signal } = stop;
    setMaxListeners(gateCount, signal);
    const gates = Array.from({ length: gateCount }, (_, number) =>
      createGate(fixture, { nodeName: `gate ${number}`, signal, windowMs }),
    );
    const requests = (perSecond * share) / 100;
    const runs = Array.from({ length: requests }, async (_, number) => {
      // Requests arrive evenly over one second and are distributed to the gates in a scattered
      // order.
      await fixture.timer.sleep({ delayMs: (number * 1_000) / requests });
      const records = gates[(number * 7) % gateCount] as RunRecords;
      assert.equal(await claim(records, `k${number}`), 'first');
      await fixture.timer.sleep({ delayMs: 40 });
      const run = {
        organisation: 'o',
        runKey: `k${number}`,
        bodyDigest: 'b',
        end: createStageEnd('x'),
      };
      assert.equal((await records.complete(run)).isOk, true);
    });
    await advanceUntil(fixture.clock, Promise.all(runs), 100);
    stop.abort();
    const calls = Object.values(fixture.fakeStore.getCallCounts()).reduce(
      (sum, count) => sum + count,
      0,
    );
    const perRequest = calls / perSecond;
    process.stdout.write(
      `\n${share} % at ${gateCount} gates, ${windowMs} ms: ${calls} calls a second, ${perRequest} a request\n`,
    );
    assert.ok(perRequest <= limit, `${perRequest} calls a request`);
  },
);
