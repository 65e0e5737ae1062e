import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { runGeneration } from '@galenatiller/engine';
import {
  createFakeEngine,
  type FakeEngine,
  type FakeEngineOptions,
  createSampleStageRequest,
} from '@galenatiller/fakes';
import { systemClock, TimerService } from '@galenatiller/timer';
import { request } from 'undici';

interface FakeEngineWorld {
  testedEngine: FakeEngine;
  firstStartId: string;
  orderStatuses: number[];
  cacheEventStream: AsyncIterator<Uint8Array>;
}

const timer = TimerService.create({ clock: systemClock });
const BLOCK_CHARS = 256;

After({ tags: '@fakes' }, function after(this: Partial<FakeEngineWorld>) {
  return this.testedEngine?.close();
});

Given(
  'a fake engine that crashes on more than {int} concurrent request in its first {int} ms',
  function given(this: FakeEngineWorld, coldLimit: number, coldMs: number) {
    return start(this, { cold: { coldMs, coldLimit, overload: 'crash' } });
  },
);

Given(
  'a fake engine that refuses more than {int} concurrent request in its first {int} ms',
  function given(this: FakeEngineWorld, coldLimit: number, coldMs: number) {
    return start(this, { cold: { coldMs, coldLimit, overload: 'refuse', slowFactor: 2 } });
  },
);

Given(
  'a fake engine that crashes on the prompt {string}',
  function given(this: FakeEngineWorld, poisonMarker: string) {
    return start(this, { poisonMarker });
  },
);

Given('a fake engine with version {string}', function given(this: FakeEngineWorld, version) {
  return start(this, { version: String(version) });
});

Given(
  'version {string} of the fake engine fails after {int} runs on route {string}',
  function given(this: FakeEngineWorld, version: string, afterRuns: number, route: string) {
    const quality = { version, errorShare: 1, slowFactor: 1, afterRuns, aboveLoad: 0, route };
    this.testedEngine.faults.apply({ kind: 'version', quality });
  },
);

Given(
  'a fake engine with a cache of {int} blocks that loses no events',
  function given(this: FakeEngineWorld, cacheBlocks: number) {
    return start(this, { cacheBlocks });
  },
);

When('a client subscribes to its cache events', async function when(this: FakeEngineWorld) {
  const { body } = await request(`${this.testedEngine.url}/cache-events`);
  this.cacheEventStream = body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
});

When(
  '{int} requests run concurrently on the fake engine',
  async function when(this: FakeEngineWorld, count: number) {
    const prompts = Array.from({ length: count }, (_, index) => `prompt ${index}`);
    await Promise.all(prompts.map((prompt) => generate(this, { prompt, tokens: 10_000 })));
    await until(() => this.testedEngine.startId() !== this.firstStartId);
  },
);

When(
  'a second request arrives at the fake engine while the first hangs',
  async function when(this: FakeEngineWorld) {
    const { ledger, faults } = this.testedEngine;
    faults.apply({ kind: 'hang', on: true });
    const firstAbort = new AbortController();
    const first = generate(this, { prompt: 'first', tokens: 1, signal: firstAbort.signal });
    await until(() => ledger.runs.length === 1);
    await generate(this, { prompt: 'second', tokens: 1 });
    firstAbort.abort();
    await first;
    await until(() => ledger.runs[0]?.ended !== undefined);
  },
);

When('the fake engine receives the prompt {string}', function when(this: FakeEngineWorld, prompt) {
  return generate(this, { prompt: String(prompt), tokens: 2 });
});

When(
  'the fake engine receives {int} prompts on route {string} and {int} on route {string}',
  async function when(this: FakeEngineWorld, first, firstRoute, second, secondRoute) {
    const routes = [...Array(first).fill(firstRoute), ...Array(second).fill(secondRoute)];
    for (const route of routes) {
      await generate(this, { prompt: 'pitch', tokens: 2, route });
    }
  },
);

When(
  'the fake engine receives prompts of {int}, {int} and {int} blocks',
  async function when(this: FakeEngineWorld, first: number, second: number, third: number) {
    for (const [index, blocks] of [first, second, third].entries()) {
      const letter = index === 0 ? 'a' : 'b';
      await generate(this, { prompt: letter.repeat(blocks * BLOCK_CHARS), tokens: 1 });
    }
  },
);

When(
  'it is ordered to load version {string} with fencing number {int}',
  async function when(this: FakeEngineWorld, name: string, fencingNumber: number) {
    const { statusCode, body } = await request(`${this.testedEngine.url}/orders`, {
      method: 'POST',
      body: JSON.stringify({ kind: 'load-version', name, fencing_number: fencingNumber }),
    });
    await body.dump();
    this.orderStatuses.push(statusCode);
  },
);

Then('the runs at the fake engine ended as {string}', function then(this: FakeEngineWorld, ends) {
  const found = this.testedEngine.ledger.runs.map(({ ended }) => ended?.how);
  assert.equal(found.join(), ends);
});

Then(
  'the fake engine counts {int} cold overload and has started {int} times',
  function then(this: FakeEngineWorld, overloads: number, starts: number) {
    assert.equal(this.testedEngine.load().coldOverloads, overloads);
    assert.equal(this.testedEngine.startId(), this.firstStartId.replace(/1$/, String(starts)));
  },
);

Then('the cache events are {string}', async function then(this: FakeEngineWorld, events: string) {
  const count = events.split(',').length;
  let text = '';
  while (text.split('\n\n').length <= count) {
    const { value } = (await this.cacheEventStream.next()) as IteratorYieldResult<Uint8Array>;
    text += Buffer.from(value).toString('utf8');
  }
  const found = [...text.matchAll(/"kind":"(\w+)","hashes":\[([^\]]*)\]/g)].map(
    ([, kind, hashes]) => `${kind} ${hashes?.split(',').length}`,
  );
  assert.equal(found.join(', '), events);
});

Then(
  'the fake engine responded to its orders with status {string} and runs version {string}',
  function then(this: FakeEngineWorld, statuses: string, version: string) {
    assert.equal(this.orderStatuses.join(), statuses);
    assert.equal(this.testedEngine.load().version, version);
  },
);

async function start(world: FakeEngineWorld, opts: Partial<FakeEngineOptions>): Promise<void> {
  const testedEngine = await createFakeEngine({
    timer,
    port: 0,
    seed: 1,
    restartMs: 1,
    version: 'v1',
    speed: { baseMsPerToken: 1, slopeMsPerToken: 0, capacity: 4 },
    ...opts,
  });
  Object.assign(world, { testedEngine, firstStartId: testedEngine.startId(), orderStatuses: [] });
}

async function generate(
  world: FakeEngineWorld,
  opts: {
    readonly prompt: string;
    readonly tokens: number;
    readonly route?: string;
    readonly signal?: AbortSignal;
  },
): Promise<void> {
  const { prompt, tokens, route = 'assistant', signal = new AbortController().signal } = opts;
  const stageRequest = createSampleStageRequest({
    kind: 'generate',
    prompt,
    maxTokens: tokens,
    deliveredText: '',
    deliveredTokens: 0,
  });
  await runGeneration({
    url: world.testedEngine.url,
    order: { ...stageRequest, route },
    signal,
    onPart: () => {},
  });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await timer.sleep({ delayMs: 1 });
  }
}
