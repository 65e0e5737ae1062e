import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { FakeProvider } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { createScale, type ScaledService, type ScaleEvent } from '../src/index.js';

interface ScaleWorld {
  calls: (atS: number) => number;
  lostAtS: number;
  clock: ManualClock;
  provider: FakeProvider;
  events: { readonly atS: number; readonly event: ScaleEvent }[];
  stop: AbortController;
}

const MS_PER_S = 1_000;
const SLOTS = 4;
const WORKERS = 4;
const RANGE = { minWorkers: 2, maxWorkers: 20, bootMs: 20_000 };

function start(world: ScaleWorld, calls: ScaleWorld['calls'], lostAtS = Infinity): void {
  Object.assign(world, { calls, lostAtS, events: [], stop: new AbortController() });
  world.clock = ManualClock.create({ startWallMs: 0 });
  world.provider = FakeProvider.create();
  const { clock, provider } = world;
  const atS = (): number => clock.nowMs() / MS_PER_S;
  let holding = { token: 5, epoch: 1 };
  const service = (): ScaledService => ({
    service: 'shop',
    range: RANGE,
    zones: ['x', 'y'].map((zone) => {
      const workers = zone === 'y' && atS() >= world.lostAtS ? 0 : WORKERS;
      return { zone, workers, slots: workers * SLOTS };
    }),
  });
  const scale = createScale({
    timer: TimerService.create({ clock }),
    duty: {
      name: 'scale',
      current: () => holding,
      onRefused: () => assert.fail('rejected'),
      renewToken: () => {
        holding = { token: holding.token + 1, epoch: holding.epoch + 1 };
        return Promise.resolve(true);
      },
      candidates: () => ['a'],
      onChange: () => () => {},
    },
    router: 'a',
    ratePerS: 50,
    random: () => 0.5,
    client: {
      setWorkers: ({ order, token }) => {
        const { service: name, zone, workers: desired } = order;
        const body = { service: name, zone, desired };
        const status = provider.receive({ path: '/scale', holder: 'a', token, body });
        return Promise.resolve({
          outcome: status === 200 ? 'accepted' : 'unknown',
          detail: String(status),
        });
      },
    },
    services: () => [service()],
    ownLoad: () => ({
      zones: [{ service: 'shop', zone: 'x', inFlight: Math.floor(calls(atS())) }],
      waiting: [],
    }),
    sendToPeer: () => {},
    onEvent: (event) => world.events.push({ atS: atS(), event }),
  });
  scale.run({ signal: world.stop.signal }).catch((error: unknown) => {
    throw error;
  });
}

Given('{int} calls', function given(this: ScaleWorld, calls: number) {
  start(this, () => calls);
});

Given(
  '{int} calls, and from second {int} on {float} more each second',
  function given(this: ScaleWorld, calls: number, fromS: number, rise: number) {
    start(this, (atS) => calls + Math.max(0, atS - fromS) * rise);
  },
);

Given(
  '{int} calls, and {int} calls from second {int} to second {int}',
  function given(this: ScaleWorld, calls: number, other: number, fromS: number, untilS: number) {
    start(this, (atS) => (atS >= fromS && atS < untilS ? other : calls));
  },
);

Given(
  '{int} calls, and zone "y" is lost at second {int}',
  function given(this: ScaleWorld, calls: number, lostAtS: number) {
    start(this, () => calls, lostAtS);
  },
);

Given(
  'the answers of the provider are lost, and its calls executed late',
  function given(this: ScaleWorld) {
    this.provider.mode = 'late';
  },
);

When('the provider answers again', function when(this: ScaleWorld) {
  this.provider.mode = 'up';
});

When('the provider executes the late orders', function when(this: ScaleWorld) {
  this.provider.executeLate();
});

When('second {int} has come', async function when(this: ScaleWorld, atS: number) {
  await this.clock.advance({ byMs: atS * MS_PER_S - this.clock.nowMs() });
});

type Decided = Extract<ScaleEvent, { kind: 'decided' }>;

function decisions({ events }: ScaleWorld): { readonly atS: number; readonly event: Decided }[] {
  return events.flatMap(({ atS, event }) => (event.kind === 'decided' ? [{ atS, event }] : []));
}

function ordered(world: ScaleWorld, zone: string): number {
  return decisions(world).findLast(({ event }) => event.zone === zone)?.event.workers ?? WORKERS;
}

Then('nothing was ordered', function then(this: ScaleWorld) {
  assert.deepEqual(this.events, []);
});

Then('nothing was ordered in {string}', function then(this: ScaleWorld, zone: string) {
  assert.ok(this.events.every(({ event }) => event.zone !== zone));
});

Then(
  'the first order was given since demand was {string}',
  function then(this: ScaleWorld, reason: string) {
    assert.equal(decisions(this)[0]?.event.reason, reason);
  },
);

Then(
  'the workers that had started had slots for all calls at each second',
  function then(this: ScaleWorld) {
    for (let atS = 0; atS <= this.clock.nowMs() / MS_PER_S; atS += 1) {
      const started = decisions(this).filter((order) => order.atS + RANGE.bootMs / MS_PER_S <= atS);
      const workers = ['x', 'y'].map(
        (zone) => started.findLast(({ event }) => event.zone === zone)?.event.workers ?? WORKERS,
      );
      const slots = workers.reduce((sum, count) => sum + count * SLOTS, 0);
      assert.ok(slots >= this.calls(atS), `${slots} slots at ${atS} s`);
    }
  },
);

Then(
  'the ordered workers have slots for the calls of second {int}',
  function then(this: ScaleWorld, atS: number) {
    const slots = (ordered(this, 'x') + ordered(this, 'y')) * SLOTS;
    assert.ok(slots >= this.calls(atS), `${slots} slots`);
  },
);

Then(
  '{int} workers are ordered in {string}, since {string}',
  function then(this: ScaleWorld, workers: number, zone: string, reason: string) {
    const last = decisions(this).findLast(({ event }) => event.zone === zone);
    assert.deepEqual([last?.event.workers, last?.event.reason], [workers, reason]);
  },
);

Then(
  'at most {int} workers fewer are ordered in {string} than before',
  function then(this: ScaleWorld, fewer: number, zone: string) {
    const drained = WORKERS - ordered(this, zone);
    assert.ok(drained >= 1 && drained <= fewer, `${drained} fewer`);
  },
);

Then(
  'the last number of workers that the provider has executed for each zone is the ordered one',
  function then(this: ScaleWorld) {
    ['x', 'y'].forEach((zone) => {
      const last = this.provider.accepted.findLast(({ body }) => body.zone === zone);
      assert.equal(last?.body.desired, ordered(this, zone));
    });
  },
);

Then(
  'no token was sent twice for a zone after its answer was lost',
  function then(this: ScaleWorld) {
    const sent = this.provider.received.map(({ body, token }) => `${body.zone} ${token}`);
    assert.equal(new Set(sent).size, sent.length);
    assert.ok(sent.length > 2);
  },
);
