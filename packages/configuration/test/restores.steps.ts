import assert from 'node:assert/strict';

import { When } from '@cucumber/cucumber';
import type { FakeStoreCopy } from '@galenatiller/fakes';

import { type ConfigurationFixture, startNode } from './configurationFixture.js';

/** The world of the configuration, which these steps share. */
interface RestoredConfigurationWorld {
  configuration?: ConfigurationFixture;
  configurationCopy: FakeStoreCopy;
}

function getFixture(world: RestoredConfigurationWorld): ConfigurationFixture {
  assert.ok(world.configuration);
  return world.configuration;
}

When('the configuration store is copied', function when(this: RestoredConfigurationWorld) {
  this.configurationCopy = getFixture(this).fakeStore.state.copy();
});

When(
  'the configuration store is away for {int} ms and restored from the copy',
  async function when(this: RestoredConfigurationWorld, byMs: number) {
    const { fakeStore, clock } = getFixture(this);
    fakeStore.setFaults({ outage: true });
    await clock.advance({ byMs });
    fakeStore.state.restore(this.configurationCopy);
    fakeStore.setFaults({ outage: false });
  },
);

When(
  '{int} ms pass at the configuration store',
  async function when(this: RestoredConfigurationWorld, byMs: number) {
    await getFixture(this).clock.advance({ byMs });
  },
);

When('a node starts that has no peers', function when(this: RestoredConfigurationWorld) {
  startNode(getFixture(this));
});
