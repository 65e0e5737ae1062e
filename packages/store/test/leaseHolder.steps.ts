import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { createStoreFixture, type StoreFixture } from '@galenatiller/fakes';
import { CallBudget, LeaseHolder, StoreClient, type StoreTransport } from '@galenatiller/store';

interface Contender {
  readonly holder: LeaseHolder;
  isPaused: boolean;
}

interface LeaseWorld {
  fixture: StoreFixture;
  contenders: Contender[];
  pausedContender: Contender;
  leaseAbort?: AbortController;
}

function createContender(world: LeaseWorld, name: string, ttlMs: number): Contender {
  const { timer, fakeStore: fake } = world.fixture;
  const budget = CallBudget.create({ timer, callsPerSecond: 100, maxBurstCalls: 100 });
  // A paused process sends no requests and receives no responses, but its clock advances.
  const transport: StoreTransport = (call) =>
    contender.isPaused ? new Promise(() => {}) : fake.transport(call);
  const random = (): number => (name === 'A' ? 0.2 : 0.8);
  const store = StoreClient.create({ transport, timer, budget, random });
  const holder = LeaseHolder.create({ store, timer, key: 'lease', value: name, ttlMs, random });
  const contender = { holder, isPaused: false };
  return contender;
}

function listActingContenders(world: LeaseWorld): Contender[] {
  return world.contenders.filter(({ holder }) => holder.isHolder());
}

/** Fencing number of the current holder in the store; empty while the key is absent. */
function readStoredFencingNumber(fixture: StoreFixture): readonly number[] {
  const { kvs } = fixture.fakeStore.state.range({ key: Buffer.from('lease').toString('base64') });
  return kvs.map((entry) => Number(entry.create_revision));
}

function assertActingOwnKey(world: LeaseWorld): void {
  const fencingNumbers = listActingContenders(world).map(({ holder }) => holder.fencingNumber());
  if (fencingNumbers.length > 0) {
    assert.deepEqual(fencingNumbers, readStoredFencingNumber(world.fixture));
  }
}

Given(
  'the lease holders {string} and {string} of a lease of {int} s',
  function given(this: LeaseWorld, first: string, second: string, ttlS: number) {
    this.fixture = createStoreFixture();
    this.leaseAbort = new AbortController();
    const { signal } = this.leaseAbort;
    this.contenders = [first, second].map((name) => createContender(this, name, ttlS * 1_000));
    this.contenders.forEach(({ holder }) => {
      holder.run({ signal }).catch(() => {});
    });
  },
);

After({ tags: '@store' }, function after(this: LeaseWorld) {
  this.leaseAbort?.abort();
});

When('{int} ms pass at the lease holders', async function when(this: LeaseWorld, byMs: number) {
  await this.fixture.clock.advance({ byMs });
});

When('the lease holder that may act is paused', function when(this: LeaseWorld) {
  [this.pausedContender] = listActingContenders(this) as [Contender];
  this.pausedContender.isPaused = true;
});

When('the store of the leases has an outage', function when(this: LeaseWorld) {
  this.fixture.fakeStore.setFaults({ outage: true });
});

When('the leases expire at the store', function when(this: LeaseWorld) {
  this.fixture.fakeStore.state.expireLeases();
});

When(
  'the lease holder that may act is paused while a response is in transit',
  async function when(this: LeaseWorld) {
    const before = this.fixture.fakeStore.getCallCounts()['lease-keepalive'] ?? 0;
    while (this.fixture.fakeStore.getCallCounts()['lease-keepalive'] === before) {
      await this.fixture.clock.advance({ byMs: 10 });
    }
    [this.pausedContender] = listActingContenders(this) as [Contender];
    this.pausedContender.isPaused = true;
  },
);

Then(/^(\d+) lease holders? may act$/, function then(this: LeaseWorld, count: string) {
  assert.equal(listActingContenders(this).length, Number(count));
});

Then('every lease holder that may act owns the lease key', function then(this: LeaseWorld) {
  assertActingOwnKey(this);
});

Then('only the other lease holder may act', function then(this: LeaseWorld) {
  assert.equal(listActingContenders(this).length, 1);
  assert.notEqual(listActingContenders(this)[0], this.pausedContender);
});

Then('its fencing number is higher', function then(this: LeaseWorld) {
  const [other] = listActingContenders(this) as [Contender];
  assert.ok(other.holder.fencingNumber() > this.pausedContender.holder.fencingNumber());
});

Then(
  'no lease holder ever acts without the lease key while responses are delayed by {int} ms',
  async function then(this: LeaseWorld, slowAnswerMs: number) {
    this.fixture.fakeStore.setFaults({ slowAnswerMs });
    for (let step = 0; step < 300; step += 1) {
      await this.fixture.clock.advance({ byMs: 100 });
      assertActingOwnKey(this);
    }
  },
);
