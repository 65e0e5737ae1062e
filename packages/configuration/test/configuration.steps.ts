import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { PublishResult, PublishFailure } from '@galenatiller/configuration';
import { advanceUntil } from '@galenatiller/fakes';
import type { Result } from 'true-myth';

import {
  type ConfigurationFixture,
  createConfigurationFixture,
  type FollowingNode,
  createOrganisations,
  createOffer,
  publishAs,
  startNode,
  formatResult,
  getWeight,
} from './configurationFixture.js';

interface ConfigurationWorld {
  configuration?: ConfigurationFixture;
  publication: Result<PublishResult, PublishFailure>;
  publications: Result<PublishResult, PublishFailure>[];
  readsBefore: readonly number[];
}

function getFixture(world: ConfigurationWorld): ConfigurationFixture {
  assert.ok(world.configuration);
  return world.configuration;
}

async function publish(
  world: ConfigurationWorld,
  opts: Parameters<typeof publishAs>[1],
): Promise<void> {
  const fixture = getFixture(world);
  fixture.transactionSizes.length = 0;
  const publication = await advanceUntil(fixture.clock, publishAs(fixture, opts));
  Object.assign(world, { publication });
  await fixture.clock.advance({ byMs: 20 });
  if (opts.baseRevision === 0) {
    const readsBefore = fixture.nodes.map(({ store }) => store.callCounts().range);
    Object.assign(world, { readsBefore });
  }
}

/** Number of reads that a node has made since the first revision. */
function countReads(world: ConfigurationWorld, index: number): number {
  const range = getFixture(world).nodes[index]?.store.callCounts().range ?? 0;
  return range - (world.readsBefore[index] ?? 0);
}

Given(
  '{int} nodes follow the configuration of a fake store',
  async function given(this: ConfigurationWorld, count: number) {
    const fixture = createConfigurationFixture();
    this.configuration = fixture;
    Array.from({ length: count }).forEach(() => startNode(fixture));
    await fixture.clock.advance({ byMs: 10 });
  },
);

After({ tags: '@configuration' }, function after(this: ConfigurationWorld) {
  this.configuration?.nodes.forEach(({ stop }) => {
    stop.abort();
  });
});

When(
  '{string} publishes {int} organisations on revision {int}',
  async function when(this: ConfigurationWorld, author: string, count: number, base: number) {
    await publish(this, { author, baseRevision: base, rules: createOrganisations(count) });
  },
);

When(
  '{string} publishes an organisation with a name of {int} letters on revision {int}',
  async function when(this: ConfigurationWorld, author: string, letters: number, base: number) {
    const rules = createOrganisations(1, {}, 'x'.repeat(letters));
    await publish(this, { author, baseRevision: base, rules });
  },
);

When(
  '{string} publishes {int} other organisations on revision {int}',
  async function when(this: ConfigurationWorld, author: string, count: number, base: number) {
    await publish(this, {
      author,
      baseRevision: base,
      rules: createOrganisations(count, {}, 'new'),
    });
  },
);

When(
  '{string} publishes {int} organisations with weight {int} for the organisation {int} on revision {int}',
  async function when(
    this: ConfigurationWorld,
    author: string,
    count: number,
    weight: number,
    number: number,
    baseRevision: number,
  ) {
    await publish(this, {
      author,
      baseRevision,
      rules: createOrganisations(count, { [number]: weight }),
    });
  },
);

When(
  '{string} and {string} publish {int} organisations with different weights for the organisation {int} on revision {int} at once',
  async function when(
    this: ConfigurationWorld,
    first: string,
    second: string,
    count: number,
    number: number,
    baseRevision: number,
  ) {
    const fixture = getFixture(this);
    const attempts = [first, second].map((author, index) =>
      publishAs(fixture, {
        author,
        baseRevision,
        rules: createOrganisations(count, { [number]: 11 + index }),
      }),
    );
    this.publications = await advanceUntil(fixture.clock, Promise.all(attempts));
  },
);

When(
  'the next {int} responses to publications are lost',
  function when(this: ConfigurationWorld, count: number) {
    getFixture(this).fakeStore.setFaults({ loseAnswers: count });
  },
);

When(
  'the store becomes unavailable after {int} more writes',
  function when(this: ConfigurationWorld, writes: number) {
    Object.assign(getFixture(this), { outageAfterWrites: writes });
  },
);

When('the configuration store becomes unavailable', async function when(this: ConfigurationWorld) {
  getFixture(this).fakeStore.setFaults({ outage: true });
  await getFixture(this).clock.advance({ byMs: 10 });
});

When('the configuration store recovers', function when(this: ConfigurationWorld) {
  Object.assign(getFixture(this), { outageAfterWrites: Infinity });
  getFixture(this).fakeStore.setFaults({ outage: false });
});

When(
  'a node starts whose peers are the other nodes and one that offers revision 1',
  function when(this: ConfigurationWorld) {
    const fixture = getFixture(this);
    const others = [...fixture.nodes];
    const old = { ...createOffer(others[0] as FollowingNode), revision: 1 };
    startNode(fixture, () => Promise.resolve([old, ...others.map(createOffer)]));
  },
);

When('the nodes are disconnected from the store', function when(this: ConfigurationWorld) {
  const fixture = getFixture(this);
  fixture.nodes.forEach((node) => fixture.disconnectedNodes.add(node));
  fixture.fakeStore.breakWatches();
});

When('the nodes reconnect to the store', function when(this: ConfigurationWorld) {
  getFixture(this).disconnectedNodes.clear();
});

When(
  '{int} changes of one organisation are published and the history is compacted',
  async function when(this: ConfigurationWorld, changes: number) {
    for (let change = 1; change <= changes; change += 1) {
      const rules = createOrganisations(200, { 7: change + 1 });
      await publish(this, { author: 'ann', baseRevision: change, rules });
    }
    getFixture(this).fakeStore.state.compact();
  },
);

Then(
  'the publication result is {string}',
  function then(this: ConfigurationWorld, expected: string) {
    assert.equal(formatResult(this.publication), expected);
  },
);

Then(
  'within {int} ms every node has revision {int} with weight {int} for the organisation {int}',
  async function then(
    this: ConfigurationWorld,
    byMs: number,
    revision: number,
    weight: number,
    number: number,
  ) {
    const fixture = getFixture(this);
    await fixture.clock.advance({ byMs });
    fixture.nodes.forEach((node) => {
      assert.equal(node.configuration.current().revision, revision);
      assert.equal(getWeight(node, number), weight);
    });
  },
);

Then('no node has read a shard since revision 1', function then(this: ConfigurationWorld) {
  getFixture(this).nodes.forEach((_, index) => {
    assert.equal(countReads(this, index), 0);
  });
});

Then(
  'the nodes have read {int} shards since revision 1',
  function then(this: ConfigurationWorld, shards: number) {
    // One additional read is for the head.
    assert.equal(countReads(this, 0), shards + 1);
  },
);

Then(
  'the publication results are {string}',
  function then(this: ConfigurationWorld, expected: string) {
    assert.equal(this.publications.map(formatResult).sort().join(', '), expected);
  },
);

Then(
  'one publication succeeds and the other fails with {string} and the change of the first',
  function then(this: ConfigurationWorld, expected: string) {
    const winner = this.publications.findIndex((publication) => publication.isOk);
    assert.deepEqual(this.publications.map(formatResult).sort(), ['published 2', expected].sort());
    const loser = this.publications[1 - winner];
    assert.ok(loser?.isErr);
    assert.deepEqual(
      loser.error.concurrentChanges.map(({ author, changed }) => [author, changed.length]),
      [[['ann', 'bob'][winner], 1]],
    );
  },
);

Then(
  'within {int} ms every node has the weight of the accepted publication for the organisation {int}',
  async function then(this: ConfigurationWorld, byMs: number, number: number) {
    await getFixture(this).clock.advance({ byMs });
    const winner = this.publications.findIndex((publication) => publication.isOk);
    getFixture(this).nodes.forEach((node) => {
      assert.equal(getWeight(node, number), 11 + winner);
    });
  },
);

Then(
  'the conflict shows that {string} gave the organisation {int} weight {int}',
  function then(this: ConfigurationWorld, author: string, number: number, weight: number) {
    assert.ok(this.publication.isErr);
    const [change] = this.publication.error.concurrentChanges;
    assert.equal(change?.author, author);
    assert.deepEqual(change?.changed, [createOrganisations(20, { [number]: weight })[number]]);
  },
);

Then('the store keeps {int} shards', function then(this: ConfigurationWorld, count: number) {
  const [key = '', end = ''] = ['galenatiller/shards/', 'galenatiller/shards0'].map((text) =>
    Buffer.from(text).toString('base64'),
  );
  assert.equal(getFixture(this).fakeStore.state.range({ key, range_end: end }).kvs.length, count);
});

Then(
  'the change took at most {int} calls, {int} bytes of writes and {int} bytes sent to each node',
  async function then(
    this: ConfigurationWorld,
    callLimit: number,
    writeLimit: number,
    nodeLimit: number,
  ) {
    const fixture = getFixture(this);
    const before = countStoreCalls(fixture);
    await publish(this, {
      author: 'ann',
      baseRevision: 2,
      rules: createOrganisations(36_000, { 7: 3 }),
    });
    const calls = countStoreCalls(fixture) - before;
    const [head] = fixture.fakeStore.state.listEventsFrom({
      key: Buffer.from('galenatiller/watched/head').toString('base64'),
      fromRevision: 4,
    });
    const nodeBytes = JSON.stringify(head).length;
    const bytes = fixture.transactionSizes.reduce((sum, size) => sum + size, 0);
    process.stdout.write(
      `\none line of 36,000: ${calls} calls, ${bytes} bytes written, ${nodeBytes} to each node\n`,
    );
    assert.ok(calls <= callLimit && bytes <= writeLimit && nodeBytes <= nodeLimit);
  },
);

function countStoreCalls(fixture: ConfigurationFixture): number {
  return Object.values(fixture.fakeStore.getCallCounts()).reduce((sum, count) => sum + count, 0);
}
