import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type CacheEvent,
  type EngineOrder,
  FencingGuard,
  followCacheEvents,
  runGeneration,
  sendEngineOrder,
  pollEngine,
} from '@galenatiller/engine';
import { createFakeEngine, type FakeEngine, createSampleStageRequest } from '@galenatiller/fakes';
import { systemClock, TimerService } from '@galenatiller/timer';

interface OrdersWorld {
  orderedEngine: FakeEngine;
  guard: FencingGuard;
  orderResults: readonly string[];
  reportedStartIds: Set<string>;
  reportedVersions: Set<string>;
}

const timer = TimerService.create({ clock: systemClock });

Given(
  /^an engine that (checks|ignores) fencing numbers, behind a guard$/,
  async function given(this: OrdersWorld, behaviour: string) {
    this.guard = FencingGuard.create();
    this.orderedEngine = await createFakeEngine({
      timer,
      port: 0,
      seed: 1,
      restartMs: 1,
      version: 'v1',
      speed: { baseMsPerToken: 1, slopeMsPerToken: 0, capacity: 4 },
      checksFencing: behaviour === 'checks',
    });
  },
);

After({ tags: '@engine' }, function after(this: Partial<OrdersWorld>) {
  return this.orderedEngine?.close();
});

Given('the guard knows fencing number {int}', function given(this: OrdersWorld, highest) {
  this.guard.raiseHighest(Number(highest));
});

Given(
  'the engine was sent the order {string} with number {int} without the guard',
  async function given(this: OrdersWorld, name: string, fencingNumber: number) {
    assert.equal(await send(this, createOrder(name, fencingNumber)), 'ok');
  },
);

When(
  'the orders {string} with number {int} and {string} with number {int} are sent at once',
  async function when(this: OrdersWorld, first, firstNumber, second, secondNumber) {
    const orders = [createOrder(first, firstNumber), createOrder(second, secondNumber)];
    this.orderResults = await Promise.all(
      orders.map(async (order) => {
        const forwarded = await this.guard.forward({
          fencingNumber: order.fencingNumber,
          send: () => sendOrder(this, order),
        });
        return forwarded.isOk ? 'ok' : forwarded.error.codeName;
      }),
    );
  },
);

When(
  'the engine is observed until it has reported its load and {int} cache event',
  async function when(this: OrdersWorld, count: number) {
    const { url } = this.orderedEngine;
    const stop = new AbortController();
    const events: CacheEvent[] = [];
    this.reportedStartIds = new Set();
    this.reportedVersions = new Set();
    const common = { url, timer, signal: stop.signal, onFailure: assert.fail };
    const polling = pollEngine({
      ...common,
      intervalMs: 60_000,
      onStartId: (startId) => this.reportedStartIds.add(startId),
      onLoad: ({ version }) => this.reportedVersions.add(version),
    });
    const following = followCacheEvents({
      ...common,
      retryDelayMs: 1,
      onEvent: (event) => events.push(event),
    });
    for (let round = 0; events.length < count || this.reportedVersions.size === 0; round += 1) {
      await generate(url, String.fromCharCode(round).repeat(256));
    }
    stop.abort();
    await Promise.all([polling, following]);
  },
);

Then('the orders ended as {string}', function then(this: OrdersWorld, results: string) {
  assert.equal(this.orderResults.join(), results);
});

Then('the engine has executed the orders {string}', function then(this: OrdersWorld, names) {
  assert.equal(
    this.orderedEngine
      .orders()
      .map(({ name }) => name)
      .join(),
    names,
  );
});

Then(
  'the reports contained the identity of the engine and its version {string}',
  function then(this: OrdersWorld, version: string) {
    assert.deepEqual([...this.reportedStartIds], [this.orderedEngine.startId()]);
    assert.deepEqual([...this.reportedVersions], [version]);
  },
);

function createOrder(name: string, fencingNumber: number): EngineOrder {
  return { kind: 'load-version', name, fencingNumber };
}

function sendOrder(world: OrdersWorld, order: EngineOrder): ReturnType<typeof sendEngineOrder> {
  const { signal } = new AbortController();
  return sendEngineOrder({ url: world.orderedEngine.url, order, signal });
}

async function send(world: OrdersWorld, order: EngineOrder): Promise<string> {
  const sent = await sendOrder(world, order);
  return sent.isOk ? 'ok' : sent.error.codeName;
}

async function generate(url: string, prompt: string): Promise<void> {
  const order = createSampleStageRequest({
    kind: 'generate',
    prompt,
    maxTokens: 1,
    deliveredText: '',
    deliveredTokens: 0,
  });
  const { signal } = new AbortController();
  await runGeneration({ url, order, signal, onPart: () => {} });
}
