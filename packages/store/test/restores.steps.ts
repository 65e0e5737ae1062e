import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  createFixtureClient,
  createStoreFixture,
  type FakeStoreCopy,
  type StoreFixture,
} from '@galenatiller/fakes';
import type { StoreClient } from '@galenatiller/store';

/** The world of the store client, which these steps share. */
interface RestoreWorld {
  fixture: StoreFixture;
  store: StoreClient;
  seen: string[];
  stop: AbortController;
  copy: FakeStoreCopy;
}

Given(
  /^a store client of a fake store whose responses name (a|no) cluster$/,
  function given(this: RestoreWorld, named: string) {
    this.fixture = createStoreFixture({ hasClusterId: named === 'a' });
    this.store = createFixtureClient(this.fixture);
    this.seen = [];
    this.stop = new AbortController();
  },
);

When('the fake store is copied', function when(this: RestoreWorld) {
  this.copy = this.fixture.fakeStore.state.copy();
});

When('the fake store is restored from the copy', function when(this: RestoreWorld) {
  this.fixture.fakeStore.state.restore(this.copy);
});

When(
  'the fake store is away for {int} ms and restored from the copy',
  async function when(this: RestoreWorld, byMs: number) {
    const { fakeStore, clock } = this.fixture;
    await clock.advance({ byMs: 10 });
    fakeStore.setFaults({ outage: true });
    await clock.advance({ byMs });
    fakeStore.state.restore(this.copy);
    fakeStore.setFaults({ outage: false });
  },
);

Then('the watch has seen {string} in that order', function then(this: RestoreWorld, seen: string) {
  const rest = [...this.seen];
  seen.split(', ').forEach((event) => {
    const index = rest.indexOf(event);
    assert.ok(index >= 0, `${event} is missing in ${this.seen.join(', ')}`);
    rest.splice(0, index + 1);
  });
});

Then('the last event of the watch is {string}', function then(this: RestoreWorld, event: string) {
  assert.equal(this.seen.at(-1), event);
});
