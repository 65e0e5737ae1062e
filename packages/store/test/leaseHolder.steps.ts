import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { createStoreBench, type StoreBench } from '@galenatiller/fakes';
import { CallBudget, LeaseHolder, StoreClient, type StoreTransport } from '@galenatiller/store';

interface Contender {
  readonly holder: LeaseHolder;
  paused: boolean;
}

interface LeaseWorld {
  bench: StoreBench;
  contenders: Contender[];
  pausedOne: Contender;
  leaseStop?: AbortController;
}

function contend(world: LeaseWorld, name: string, ttlMs: number): Contender {
  const { timer, fake } = world.bench;
  const budget = CallBudget.create({ timer, callsPerSecond: 100, maxBurstCalls: 100 });
  // A paused process sends nothing and sees no answer; its clock goes on.
  const transport: StoreTransport = (call) =>
    contender.paused ? new Promise(() => {}) : fake.transport(call);
  const random = (): number => (name === 'A' ? 0.2 : 0.8);
  const store = StoreClient.create({ transport, timer, budget, random });
  const holder = LeaseHolder.create({ store, timer, key: 'lease', value: name, ttlMs, random });
  const contender = { holder, paused: false };
  return contender;
}

function acting(world: LeaseWorld): Contender[] {
  return world.contenders.filter(({ holder }) => holder.isHolder());
}

/** Fencing number of the holder that the store knows; none while the key is absent. */
function storedFencing(bench: StoreBench): readonly number[] {
  const { kvs } = bench.fake.core.range({ key: Buffer.from('lease').toString('base64') });
  return kvs.map((entry) => Number(entry.create_revision));
}

function assertOwners(world: LeaseWorld): void {
  const fencing = acting(world).map(({ holder }) => holder.fencingNumber());
  if (fencing.length > 0) {
    assert.deepEqual(fencing, storedFencing(world.bench));
  }
}

Given(
  'the lease holders {string} and {string} of a lease of {int} s',
  function given(this: LeaseWorld, first: string, second: string, ttlS: number) {
    this.bench = createStoreBench();
    this.leaseStop = new AbortController();
    const { signal } = this.leaseStop;
    this.contenders = [first, second].map((name) => contend(this, name, ttlS * 1_000));
    this.contenders.forEach(({ holder }) => {
      holder.run({ signal }).catch(() => {});
    });
  },
);

After({ tags: '@store' }, function after(this: LeaseWorld) {
  this.leaseStop?.abort();
});

When('{int} ms pass at the lease holders', async function when(this: LeaseWorld, byMs: number) {
  await this.bench.clock.advance({ byMs });
});

When('the lease holder that may act is paused', function when(this: LeaseWorld) {
  [this.pausedOne] = acting(this) as [Contender];
  this.pausedOne.paused = true;
});

When('the store of the leases has an outage', function when(this: LeaseWorld) {
  this.bench.fake.order({ outage: true });
});

When('the leases lapse at the store', function when(this: LeaseWorld) {
  this.bench.fake.core.lapseLeases();
});

When(
  'the lease holder that may act is paused while an answer is on its way',
  async function when(this: LeaseWorld) {
    const before = this.bench.fake.calls()['lease-keepalive'] ?? 0;
    while (this.bench.fake.calls()['lease-keepalive'] === before) {
      await this.bench.clock.advance({ byMs: 10 });
    }
    [this.pausedOne] = acting(this) as [Contender];
    this.pausedOne.paused = true;
  },
);

Then(/^(\d+) lease holders? may act$/, function then(this: LeaseWorld, count: string) {
  assert.equal(acting(this).length, Number(count));
});

Then('every lease holder that may act owns the lease key', function then(this: LeaseWorld) {
  assertOwners(this);
});

Then('only the other lease holder may act', function then(this: LeaseWorld) {
  assert.equal(acting(this).length, 1);
  assert.notEqual(acting(this)[0], this.pausedOne);
});

Then('its fencing number is higher', function then(this: LeaseWorld) {
  const [other] = acting(this) as [Contender];
  assert.ok(other.holder.fencingNumber() > this.pausedOne.holder.fencingNumber());
});

Then(
  'no lease holder ever acts without the lease key while answers come {int} ms late',
  async function then(this: LeaseWorld, slowAnswerMs: number) {
    this.bench.fake.order({ slowAnswerMs });
    for (let step = 0; step < 300; step += 1) {
      await this.bench.clock.advance({ byMs: 100 });
      assertOwners(this);
    }
  },
);
