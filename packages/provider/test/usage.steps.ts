import assert from 'node:assert/strict';

import { After, type DataTable, Given, Then, When } from '@cucumber/cucumber';
import type { ProviderMode } from '@galenatiller/fakes';

import { FIRST_WINDOW, LATE_MS, UsageFleet, WINDOW_MS } from './usageWorld.js';

interface UsageStepsWorld {
  fleet: UsageFleet;
}

const MS_PER_S = 1_000;

Given(
  'the routers {string}, {string} and {string}, of which {string} is the holder',
  async function given(this: UsageStepsWorld, a: string, b: string, c: string, holder: string) {
    this.fleet = new UsageFleet();
    [a, b, c].forEach((name) => this.fleet.start(name));
    this.fleet.elect(holder);
    await this.fleet.advance(1);
  },
);

After({ tags: '@provider' }, async function after(this: Partial<UsageStepsWorld>) {
  await this.fleet?.close();
});

When(
  '{int} requests of {string} begin at {string} {int} ms {word} the {word} of window {int}',
  async function when(
    this: UsageStepsWorld,
    requests: number,
    organisation: string,
    router: string,
    offsetMs: number,
    side: string,
    edge: string,
    window: number,
  ) {
    const edgeMs = (edge === 'end' ? window + 1 : window) * WINDOW_MS;
    await this.fleet.advanceTo(edgeMs + (side === 'before' ? -offsetMs : offsetMs));
    this.fleet.count(router, organisation, requests);
  },
);

When('{float} s have passed', async function when(this: UsageStepsWorld, seconds: number) {
  await this.fleet.advance(seconds * MS_PER_S);
});

When('the provider is {string}', function when(this: UsageStepsWorld, mode: ProviderMode) {
  this.fleet.provider.mode = mode;
});

When('the provider executes what came late', function when(this: UsageStepsWorld) {
  this.fleet.provider.executeLate();
});

When('each call to the provider takes {int} ms', function when(this: UsageStepsWorld, ms: number) {
  this.fleet.apiDelayMs = ms;
});

When('{string} has lost its links', function when(this: UsageStepsWorld, router: string) {
  this.fleet.node(router).isLinked = false;
});

When('{string} has its links again', function when(this: UsageStepsWorld, router: string) {
  this.fleet.node(router).isLinked = true;
  this.fleet.nodes.forEach((node) => {
    node.usage.onLinkOpened(router);
    this.fleet.node(router).usage.onLinkOpened(node.name);
  });
});

When('{string} reaches only {string}', function when(this: UsageStepsWorld, router, peer) {
  this.fleet.node(router).reachable = new Set([peer]);
});

When('{string} dies', function when(this: UsageStepsWorld, router: string) {
  this.fleet.kill(router);
});

When('{string} restarts', function when(this: UsageStepsWorld, router: string) {
  this.fleet.kill(router);
  this.fleet.start(router);
});

When('{string} dies and {string} becomes the holder', function when(this: UsageStepsWorld, a, b) {
  this.fleet.kill(a);
  this.fleet.elect(b);
});

When('{string} becomes the holder', function when(this: UsageStepsWorld, router: string) {
  this.fleet.elect(router);
});

When(
  '{string} becomes the holder and {string} does not notice',
  function when(this: UsageStepsWorld, router: string, other: string) {
    assert.ok(this.fleet.node(other).holding);
    this.fleet.elect(router, { isSplit: true });
  },
);

When('the store treats writes as {string}', function when(this: UsageStepsWorld, mode) {
  this.fleet.store.mode = mode;
});

When('the store executes what came late', function when(this: UsageStepsWorld) {
  this.fleet.store.executeLate();
});

When('the store takes a copy', function when(this: UsageStepsWorld) {
  this.fleet.store.takeCopy();
});

When('the store of the ledger is restored from the copy', function when(this: UsageStepsWorld) {
  this.fleet.store.restore();
});

When(
  'the wall clock of {string} is wrong by {int} s',
  async function when(this: UsageStepsWorld, router: string, seconds: number) {
    this.fleet.node(router).wallErrorMs = seconds * MS_PER_S;
    await this.fleet.advance(1_000);
  },
);

When('the wall clock of {string} is right again', function when(this: UsageStepsWorld, router) {
  this.fleet.node(router).wallErrorMs = 0;
});

When(
  'the host of {string} was suspended for {int} s longer than the others',
  function when(this: UsageStepsWorld, router: string, seconds: number) {
    this.fleet.node(router).suspendedMs = seconds * MS_PER_S;
  },
);

Then(
  'the window at {string} is {int} windows ahead',
  async function then(this: UsageStepsWorld, router: string, windows: number) {
    // The window of the counts that a router sends shows what it takes for the time.
    const seen: number[] = [];
    const holder = this.fleet.node('a').usage;
    const { merge } = holder;
    Object.assign(holder, {
      merge: (update: Parameters<typeof merge>[0]) => {
        if (update.router === router) {
          seen.push(...update.windows.map(({ window }) => window));
        }
        merge(update);
      },
    });
    const expected = Math.floor(this.fleet.clock.wallMs() / WINDOW_MS) + windows;
    this.fleet.node(router).usage.count('clock');
    await this.fleet.advance(600);
    Object.assign(holder, { merge });
    assert.ok(seen.includes(expected), `${seen.join()} without ${expected}`);
  },
);

Then('the accepted counts are', function then(this: UsageStepsWorld, table: DataTable) {
  const rows = table
    .hashes()
    .map(({ window, counts }) => [Number(window), JSON.parse(counts ?? '') as unknown]);
  const accepted = this.fleet.provider.accepted.map(({ body }) => [
    (body.window ?? 0) - FIRST_WINDOW,
    body.counts,
  ]);
  assert.deepEqual(accepted, rows);
});

Then(
  'each of these windows was sent once, at most {int} s after its end',
  function then(this: UsageStepsWorld, seconds: number) {
    const { provider, sentAtMs } = this.fleet;
    provider.received.forEach(({ body }, position) => {
      const endMs = ((body.window ?? 0) + 1 - FIRST_WINDOW) * WINDOW_MS;
      const lateMs = (sentAtMs[position] ?? Infinity) - endMs;
      assert.ok(lateMs <= seconds * MS_PER_S, `${body.window} came ${lateMs} ms after its end`);
      assert.ok(lateMs <= LATE_MS);
    });
    const windows = provider.received.map(({ body }) => body.window);
    assert.equal(new Set(windows).size, windows.length);
  },
);

Then('the ledger was written once for each window', function then(this: UsageStepsWorld) {
  assert.equal(this.fleet.store.writes, this.fleet.provider.accepted.length);
});

Then(
  /^window (\d+) was accepted with the counts (.*)$/,
  function then(this: UsageStepsWorld, window: string, counts: string) {
    const found = this.fleet.provider.findCounts(FIRST_WINDOW + Number(window));
    assert.deepEqual(found, JSON.parse(counts));
  },
);

Then('window {int} was accepted', function then(this: UsageStepsWorld, window: number) {
  assert.ok(this.fleet.provider.findCounts(FIRST_WINDOW + window));
});

Then('window {int} was received more than once', function then(this: UsageStepsWorld, window) {
  const { received } = this.fleet.provider;
  assert.ok(received.filter(({ body }) => body.window === FIRST_WINDOW + window).length > 1);
});

Then('the windows {int} to {int} were accepted', function then(this: UsageStepsWorld, first, last) {
  for (let window = first; window <= last; window += 1) {
    assert.ok(this.fleet.provider.findCounts(FIRST_WINDOW + window), `window ${window}`);
  }
});

Then('the first accepted window is {int}', function then(this: UsageStepsWorld, window: number) {
  assert.equal(this.fleet.provider.accepted[0]?.body.window, FIRST_WINDOW + window);
});

Then('the provider has received nothing', function then(this: UsageStepsWorld) {
  assert.deepEqual(this.fleet.provider.received, []);
});

Then('the provider has received at most {int} calls', function then(this: UsageStepsWorld, calls) {
  const { length } = this.fleet.provider.received;
  assert.ok(length > 0 && length <= calls, `${length} calls`);
});

Then('the provider has seen no violation', function then(this: UsageStepsWorld) {
  assert.deepEqual(this.fleet.provider.violations, []);
});

Then('{string} no longer holds the duty', function then(this: UsageStepsWorld, router: string) {
  assert.equal(this.fleet.node(router).holding, undefined);
});

Then('{string} has left out window {int}', function then(this: UsageStepsWorld, router, window) {
  const { events } = this.fleet.node(router);
  assert.ok(
    events.some((event) => event.kind === 'left-out' && event.window === FIRST_WINDOW + window),
  );
});
