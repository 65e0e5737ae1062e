import assert from 'node:assert/strict';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { Then } from '@cucumber/cucumber';

import { type ConfigurationFixture, startNode } from './configurationFixture.js';

const BYTES_PER_MB = 1_048_576;

/** Size of the live objects in bytes, after a full garbage collection. */
function measureLiveBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

Then(
  'the configuration takes at most {int} MB on a newly started node',
  async function then(this: { configuration: ConfigurationFixture }, limitMb: number) {
    const fixture = this.configuration;
    const before = measureLiveBytes();
    const node = startNode(fixture);
    await fixture.clock.advance({ byMs: 100 });
    const usedMb = (measureLiveBytes() - before) / BYTES_PER_MB;
    const { organisations } = node.configuration.current();
    assert.equal(organisations.size, 36_000);
    const { range } = node.store.callCounts();
    process.stdout.write(`\n36,000 organisations: ${usedMb.toFixed(1)} MB, ${range} reads\n`);
    assert.ok(usedMb <= limitMb);
  },
);
