import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { PublishResult, PublishFailure } from '@galenatiller/configuration';
import { advanceUntil } from '@galenatiller/fakes';
import type { Result } from 'true-myth';

import {
  type ConfigurationBench,
  createConfigurationBench,
  type FollowingNode,
  makeOrganisations,
  offerOf,
  publishAs,
  startNode,
  tellPublication,
  weightOn,
} from './configurationBench.js';

interface ConfigurationWorld {
  configuration?: ConfigurationBench;
  publication: Result<PublishResult, PublishFailure>;
  raced: Result<PublishResult, PublishFailure>[];
  readsBefore: readonly number[];
}

function benchOf(world: ConfigurationWorld): ConfigurationBench {
  assert.ok(world.configuration);
  return world.configuration;
}

async function publish(
  world: ConfigurationWorld,
  opts: Parameters<typeof publishAs>[1],
): Promise<void> {
  const bench = benchOf(world);
  bench.writtenBytes.length = 0;
  const publication = await advanceUntil(bench.clock, publishAs(bench, opts));
  Object.assign(world, { publication });
  await bench.clock.advance({ byMs: 20 });
  if (opts.baseRevision === 0) {
    const readsBefore = bench.nodes.map(({ store }) => store.callCounts().range);
    Object.assign(world, { readsBefore });
  }
}

/** Keys that a node has read since the first revision. */
function readsOf(world: ConfigurationWorld, index: number): number {
  const range = benchOf(world).nodes[index]?.store.callCounts().range ?? 0;
  return range - (world.readsBefore[index] ?? 0);
}

Given(
  '{int} nodes follow the configuration of a stand-in store',
  async function given(this: ConfigurationWorld, count: number) {
    const bench = createConfigurationBench();
    this.configuration = bench;
    Array.from({ length: count }).forEach(() => startNode(bench));
    await bench.clock.advance({ byMs: 10 });
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
    await publish(this, { author, baseRevision: base, rules: makeOrganisations(count) });
  },
);

When(
  '{string} publishes an organisation with a name of {int} letters on revision {int}',
  async function when(this: ConfigurationWorld, author: string, letters: number, base: number) {
    const rules = makeOrganisations(1, {}, 'x'.repeat(letters));
    await publish(this, { author, baseRevision: base, rules });
  },
);

When(
  '{string} publishes {int} other organisations on revision {int}',
  async function when(this: ConfigurationWorld, author: string, count: number, base: number) {
    await publish(this, { author, baseRevision: base, rules: makeOrganisations(count, {}, 'new') });
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
      rules: makeOrganisations(count, { [number]: weight }),
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
    const bench = benchOf(this);
    const both = [first, second].map((author, index) =>
      publishAs(bench, {
        author,
        baseRevision,
        rules: makeOrganisations(count, { [number]: 11 + index }),
      }),
    );
    this.raced = await advanceUntil(bench.clock, Promise.all(both));
  },
);

When(
  'the next {int} answers to publications are lost',
  function when(this: ConfigurationWorld, count: number) {
    benchOf(this).fake.order({ loseAnswers: count });
  },
);

When(
  'the store goes away after {int} more writes',
  function when(this: ConfigurationWorld, writes: number) {
    Object.assign(benchOf(this), { outageAfter: writes });
  },
);

When('the store of the configuration goes away', async function when(this: ConfigurationWorld) {
  benchOf(this).fake.order({ outage: true });
  await benchOf(this).clock.advance({ byMs: 10 });
});

When('the store of the configuration comes back', function when(this: ConfigurationWorld) {
  Object.assign(benchOf(this), { outageAfter: Infinity });
  benchOf(this).fake.order({ outage: false });
});

When(
  'a node starts that knows the other nodes and one that offers revision 1',
  function when(this: ConfigurationWorld) {
    const bench = benchOf(this);
    const others = [...bench.nodes];
    const old = { ...offerOf(others[0] as FollowingNode), revision: 1 };
    startNode(bench, () => Promise.resolve([old, ...others.map(offerOf)]));
  },
);

When('the nodes are cut off from the store', function when(this: ConfigurationWorld) {
  const bench = benchOf(this);
  bench.nodes.forEach((node) => bench.cutOff.add(node));
  bench.fake.breakWatches();
});

When('the nodes reach the store again', function when(this: ConfigurationWorld) {
  benchOf(this).cutOff.clear();
});

When(
  '{int} changes of one organisation are published and the history is forgotten',
  async function when(this: ConfigurationWorld, changes: number) {
    for (let change = 1; change <= changes; change += 1) {
      const rules = makeOrganisations(200, { 7: change + 1 });
      await publish(this, { author: 'ann', baseRevision: change, rules });
    }
    benchOf(this).fake.core.compact();
  },
);

Then('the publication is told as {string}', function then(this: ConfigurationWorld, told: string) {
  assert.equal(tellPublication(this.publication), told);
});

Then(
  'within {int} ms every node has revision {int} with weight {int} for the organisation {int}',
  async function then(
    this: ConfigurationWorld,
    byMs: number,
    revision: number,
    weight: number,
    number: number,
  ) {
    const bench = benchOf(this);
    await bench.clock.advance({ byMs });
    bench.nodes.forEach((node) => {
      assert.equal(node.held.current().revision, revision);
      assert.equal(weightOn(node, number), weight);
    });
  },
);

Then('no node has read a shard since revision 1', function then(this: ConfigurationWorld) {
  benchOf(this).nodes.forEach((_, index) => {
    assert.equal(readsOf(this, index), 0);
  });
});

Then(
  'the nodes have read {int} shards since revision 1',
  function then(this: ConfigurationWorld, shards: number) {
    // One more read is that of the head.
    assert.equal(readsOf(this, 0), shards + 1);
  },
);

Then('the race is told as {string}', function then(this: ConfigurationWorld, told: string) {
  assert.equal(this.raced.map(tellPublication).sort().join(', '), told);
});

Then(
  'one is told as published and the other as {string} with the change of the first',
  function then(this: ConfigurationWorld, told: string) {
    const winner = this.raced.findIndex((publication) => publication.isOk);
    assert.deepEqual(this.raced.map(tellPublication).sort(), ['published 2', told].sort());
    const loser = this.raced[1 - winner];
    assert.ok(loser?.isErr);
    assert.deepEqual(
      loser.error.otherChanges.map(({ author, changed }) => [author, changed.length]),
      [[['ann', 'bob'][winner], 1]],
    );
  },
);

Then(
  'within {int} ms every node has the weight of the first for the organisation {int}',
  async function then(this: ConfigurationWorld, byMs: number, number: number) {
    await benchOf(this).clock.advance({ byMs });
    const winner = this.raced.findIndex((publication) => publication.isOk);
    benchOf(this).nodes.forEach((node) => {
      assert.equal(weightOn(node, number), 11 + winner);
    });
  },
);

Then(
  'the refusal shows that {string} gave the organisation {int} weight {int}',
  function then(this: ConfigurationWorld, author: string, number: number, weight: number) {
    assert.ok(this.publication.isErr);
    const [change] = this.publication.error.otherChanges;
    assert.equal(change?.author, author);
    assert.deepEqual(change?.changed, [makeOrganisations(20, { [number]: weight })[number]]);
  },
);

Then('the store keeps {int} shards', function then(this: ConfigurationWorld, count: number) {
  const [key = '', end = ''] = ['galenatiller/shards/', 'galenatiller/shards0'].map((text) =>
    Buffer.from(text).toString('base64'),
  );
  assert.equal(benchOf(this).fake.core.range({ key, range_end: end }).kvs.length, count);
});

Then(
  'the change took at most {int} calls and {int} bytes of writes, and {int} bytes for each node',
  async function then(
    this: ConfigurationWorld,
    callLimit: number,
    writeLimit: number,
    nodeLimit: number,
  ) {
    const bench = benchOf(this);
    const before = countCalls(bench);
    await publish(this, {
      author: 'ann',
      baseRevision: 2,
      rules: makeOrganisations(36_000, { 7: 3 }),
    });
    const calls = countCalls(bench) - before;
    const [head] = bench.fake.core.eventsFrom({
      key: Buffer.from('galenatiller/watched/head').toString('base64'),
      fromRevision: 4,
    });
    const nodeBytes = JSON.stringify(head).length;
    const bytes = bench.writtenBytes.reduce((sum, size) => sum + size, 0);
    process.stdout.write(
      `\none line of 36,000: ${calls} calls, ${bytes} bytes written, ${nodeBytes} to each node\n`,
    );
    assert.ok(calls <= callLimit && bytes <= writeLimit && nodeBytes <= nodeLimit);
  },
);

function countCalls(bench: ConfigurationBench): number {
  return Object.values(bench.fake.calls()).reduce((sum, count) => sum + count, 0);
}
