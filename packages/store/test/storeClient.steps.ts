import assert from 'node:assert/strict';
import { once, setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  advanceUntil,
  createFixtureClient,
  createFakeStoreServer,
  createStoreFixture,
  type StoreFixture,
} from '@galenatiller/fakes';
import {
  CallBudget,
  createHttpTransport,
  type HttpTransport,
  StoreClient,
  type SwapResult,
  WatchHub,
} from '@galenatiller/store';
import fc from 'fast-check';
import { request } from 'undici';

interface StoreWorld {
  fixture: StoreFixture;
  store: StoreClient;
  swap: string;
  seen: string[];
  hub: WatchHub;
  reads: string[];
  stop?: AbortController;
  server?: Server;
  http?: HttpTransport;
  url: string;
}

function setStore(world: StoreWorld, store: StoreClient): void {
  Object.assign(world, { store, seen: [], stop: new AbortController() });
}

async function trySwap(
  store: StoreClient,
  opts: { readonly key: string; readonly value: string; readonly modRevision: number },
): Promise<string> {
  const { key, value, modRevision } = opts;
  const result = await store.compareAndSwap({
    expected: [{ key, modRevision }],
    puts: [{ key, value }],
  });
  return result.match({
    Ok: (swap: SwapResult) => swap.kind as string,
    Err: (error) => error.codeName as string,
  });
}

/** Writes to the fake store like another client, even during an outage. */
function writeAsOtherClient(fixture: StoreFixture, key: string, value: string): void {
  const toBase64 = (text: string): string => Buffer.from(text).toString('base64');
  fixture.fakeStore.state.txn({
    success: [{ request_put: { key: toBase64(key), value: toBase64(`other\n${value}`) } }],
  });
}

async function follow(
  world: StoreWorld,
  prefix: string,
  watch: StoreClient['watch'] = (opts) => world.store.watch(opts),
): Promise<void> {
  const signal = world.stop?.signal ?? AbortSignal.abort();
  for await (const event of watch({ prefix, fromRevision: 1, signal })) {
    if (event.kind === 'put') {
      world.seen.push(`put ${event.entry.key}`);
    } else if (world.seen[world.seen.length - 1] !== event.kind) {
      world.seen.push(event.kind);
    }
  }
}

Given('a store client of a fake store', function given(this: StoreWorld) {
  this.fixture = createStoreFixture();
  setStore(this, createFixtureClient(this.fixture));
});

Given(
  'a store client with a budget of {int} calls a second',
  function given(this: StoreWorld, callsPerSecond: number) {
    this.fixture = createStoreFixture();
    setStore(this, createFixtureClient(this.fixture, { callsPerSecond }));
  },
);

Given(
  'a watch of the store prefix {string}',
  async function given(this: StoreWorld, prefix: string) {
    follow(this, prefix).catch(() => {});
    await this.fixture.clock.advance({ byMs: 1 });
  },
);

Given('a watch hub of the store prefix {string}', function given(this: StoreWorld, prefix: string) {
  this.hub = WatchHub.create({ store: this.store, rootPrefix: prefix });
  this.hub.run({ signal: this.stop?.signal ?? AbortSignal.abort() }).catch(() => {});
});

When('the watch hub follows {string}', async function when(this: StoreWorld, prefix: string) {
  follow(this, prefix, (opts) => this.hub.watch(opts)).catch(() => {});
  await this.fixture.clock.advance({ byMs: 1 });
});

Then('the fake store has {int} watch open', function then(this: StoreWorld, count: number) {
  assert.equal(this.fixture.fakeStore.countOpenWatches(), count);
});

Given('{int} watches of one fake store', async function given(this: StoreWorld, count: number) {
  this.fixture = createStoreFixture();
  let seed = 7;
  const random = (): number => {
    seed = (seed * 16_807) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  setStore(this, createFixtureClient(this.fixture, { random, callsPerSecond: 100_000 }));
  setMaxListeners(count, this.stop?.signal as EventTarget);
  Array.from({ length: count }).forEach(() => {
    follow(this, 'w/').catch(() => {});
  });
  await this.fixture.clock.advance({ byMs: 1 });
});

Given('a store client of a fake store over HTTP', async function given(this: StoreWorld) {
  this.fixture = createStoreFixture();
  this.server = createFakeStoreServer({ store: this.fixture.fakeStore });
  this.server.listen(0, '127.0.0.1');
  await once(this.server, 'listening');
  this.url = `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  this.http = createHttpTransport({ url: this.url });
  const { timer } = this.fixture;
  const budget = CallBudget.create({ timer, callsPerSecond: 100, maxBurstCalls: 100 });
  // The manual clock advances faster than the sockets, so calls must not time out.
  const callTimeoutMs = 10_000_000;
  setStore(this, StoreClient.create({ transport: this.http.call, timer, budget, callTimeoutMs }));
});

After({ tags: '@store' }, async function after(this: StoreWorld) {
  this.stop?.abort();
  await this.http?.close();
  this.server?.closeAllConnections();
  this.server?.close();
});

When('the next {int} store responses are lost', function when(this: StoreWorld, count: number) {
  this.fixture.fakeStore.setFaults({ loseAnswers: count });
});

When('the next {int} store requests are lost', function when(this: StoreWorld, count: number) {
  this.fixture.fakeStore.setFaults({ loseRequests: count });
});

When('the fake store is slow by {int} ms', function when(this: StoreWorld, slowMs: number) {
  this.fixture.fakeStore.setFaults({ slowMs });
});

When('the fake store has an outage', function when(this: StoreWorld) {
  this.fixture.fakeStore.setFaults({ outage: true });
});

When('the fake store recovers', function when(this: StoreWorld) {
  this.fixture.fakeStore.setFaults({ outage: false });
});

When('the fake store compacts its history', function when(this: StoreWorld) {
  this.fixture.fakeStore.state.compact();
});

When(
  'the store key {string} is swapped from absent to {string}',
  async function when(this: StoreWorld, key: string, value: string) {
    const swap = trySwap(this.store, { key, value, modRevision: 0 });
    this.swap = await advanceUntil(this.fixture.clock, swap);
  },
);

When(
  'the store key {string} is swapped from absent to {string} while another client writes {string} over it',
  async function when(this: StoreWorld, key: string, value: string, other: string) {
    const swap = trySwap(this.store, { key, value, modRevision: 0 });
    await this.fixture.clock.advance({ byMs: 1 });
    writeAsOtherClient(this.fixture, key, other);
    this.swap = await advanceUntil(this.fixture.clock, swap);
  },
);

When('another client writes the store key {string}', function when(this: StoreWorld, key: string) {
  writeAsOtherClient(this.fixture, key, 'other');
});

When('{int} ms pass at the store client', async function when(this: StoreWorld, byMs: number) {
  await this.fixture.clock.advance({ byMs });
});

When(
  'the store client reads {int} times at once',
  async function when(this: StoreWorld, count: number) {
    const reads = await Promise.all(Array.from({ length: count }, () => this.store.read('a')));
    this.reads = reads.map((read) => (read.isOk ? 'ok' : read.error.codeName));
  },
);

When(
  '{string} is set to {word} over HTTP',
  async function when(this: StoreWorld, fault: string, value: string) {
    const body = JSON.stringify({ [fault]: JSON.parse(value) as unknown });
    const response = await request(`${this.url}/faults`, { method: 'POST', body });
    assert.equal(response.statusCode, 200);
    await response.body.text();
  },
);

Then('the swap result is {string}', function then(this: StoreWorld, expected: string) {
  assert.equal(this.swap, expected);
});

Then(
  'the store key {string} holds {string} after {int} writes',
  async function then(this: StoreWorld, key: string, value: string, writes: number) {
    this.fixture.fakeStore.setFaults({ slowMs: 0 });
    const read = (await this.store.read(key)).unwrapOrElse((error) => assert.fail(error));
    assert.equal(read.entry.map((entry) => entry.value).unwrapOr(''), value);
    assert.equal(this.fixture.fakeStore.state.revision, 1 + writes);
  },
);

Then(
  'reading the store key {string} fails with {string}',
  async function then(this: StoreWorld, key: string, expected: string) {
    const read = await advanceUntil(this.fixture.clock, this.store.read(key));
    assert.equal(read.isErr && read.error.codeName, expected);
  },
);

Then(
  '{int} store reads succeeded and {int} failed with {string}',
  function then(this: StoreWorld, succeeded: number, failed: number, expected: string) {
    assert.equal(this.reads.filter((read) => read === 'ok').length, succeeded);
    assert.equal(this.reads.filter((read) => read === expected).length, failed);
  },
);

Then(
  'the store client counts {int} {string} calls',
  function then(this: StoreWorld, count: number, kind: 'range') {
    assert.equal(this.store.callCounts()[kind], count);
  },
);

Then(
  'the watch over HTTP eventually sees {string}',
  async function then(this: StoreWorld, seen: string) {
    while (this.seen.length === 0) {
      await this.fixture.clock.advance({ byMs: 0 });
    }
    assert.equal(this.seen.join(', '), seen);
  },
);

Then('the watch has seen {string}', function then(this: StoreWorld, seen: string) {
  assert.equal(this.seen.join(', '), seen);
});

Then(
  'at most {int} store calls are made in each of the next {int} seconds',
  async function then(this: StoreWorld, limit: number, seconds: number) {
    let before = this.store.callCounts().watch;
    for (let second = 0; second < seconds; second += 1) {
      await this.fixture.clock.advance({ byMs: 1_000 });
      const after = this.store.callCounts().watch;
      assert.ok(after - before <= limit, `${after - before} calls in second ${second}`);
      before = after;
    }
  },
);

Then('{int} watches are open again', async function then(this: StoreWorld, count: number) {
  writeAsOtherClient(this.fixture, 'w/x', 'x');
  await this.fixture.clock.advance({ byMs: 1 });
  assert.equal(this.seen.filter((event) => event === 'put w/x').length, count);
});

Then(
  'the fake HTTP store has counted {int} {string} calls',
  async function then(this: StoreWorld, count: number, kind: string) {
    const response = await request(`${this.url}/calls`);
    assert.equal(((await response.body.json()) as Record<string, number>)[kind], count);
  },
);

const faultStep = fc.record({
  loseAnswers: fc.nat(3),
  loseRequests: fc.nat(3),
  outage: fc.boolean(),
  forMs: fc.nat(900),
});

/** Increments a counter several times and records the result of each swap. */
async function incrementCounter(fixture: StoreFixture, results: string[]): Promise<void> {
  const store = createFixtureClient(fixture);
  for (let attempt = 0; attempt < 4; attempt += 1) {
    const found = await store.read('n');
    if (found.isOk) {
      const modRevision = found.value.entry.map((entry) => entry.modRevision).unwrapOr(0);
      const count = Number(found.value.entry.map((entry) => entry.value).unwrapOr('0'));
      results.push(await trySwap(store, { key: 'n', value: String(count + 1), modRevision }));
    }
    await fixture.timer.sleep({ delayMs: 100 });
  }
}

Then(
  'over {int} seeded fault schedules the counter matches the results reported to its writers',
  async (numRuns: number) => {
    const property = fc.asyncProperty(fc.array(faultStep, { maxLength: 12 }), async (schedule) => {
      const fixture = createStoreFixture();
      const results: string[] = [];
      const writers = [1, 2, 3].map(() => incrementCounter(fixture, results));
      for (const { forMs, ...faults } of schedule) {
        fixture.fakeStore.setFaults(faults);
        await fixture.clock.advance({ byMs: forMs });
      }
      fixture.fakeStore.setFaults({ outage: false, loseAnswers: 0, loseRequests: 0 });
      await advanceUntil(fixture.clock, Promise.all(writers));
      const last = (await createFixtureClient(fixture).read('n')).unwrapOrElse((e) =>
        assert.fail(e),
      );
      const count = Number(last.entry.map((entry) => entry.value).unwrapOr('0'));
      const swapped = results.filter((kind) => kind === 'swapped').length;
      const unknown = results.filter((kind) => kind !== 'swapped' && kind !== 'conflict').length;
      assert.ok(swapped <= count && count <= swapped + unknown, `${swapped} ${count} ${unknown}`);
    });
    await fc.assert(property, { numRuns, seed: 11 });
  },
);
