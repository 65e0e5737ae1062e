/** Steps on versions that get no calls from later orders. */
import assert from 'node:assert/strict';

import { Then, When, Given } from '@cucumber/cucumber';
import type { EntryHandlers, PrefixEntry } from '@galenatiller/store';
import { TargetDirectory } from '@galenatiller/target';
import { TimerService } from '@galenatiller/timer';
import type { RolloutOrder, RolloutState, RolloutStatus } from '@galenatiller/types';

import { createOperatorHandlers } from '../src/createOperatorHandlers.js';
import type { OperatorEntryDecoder, RolloutStatusEntries } from '../src/entryDecoders.js';
import { RolloutStatuses } from '../src/rolloutStatuses.js';
import { RouteTable } from '../src/routeTable.js';
import { createRollouts, createTarget, ORDER_REVISION, type RolloutWorld } from './rolloutWorld.js';

interface StoppedWorld extends RolloutWorld {
  operatorHandlers: EntryHandlers;
}

const VERSIONS = ['v1', 'v2', 'v3', 'v4'];
const TARGETS = VERSIONS.map((version, index) => createTarget(version, index));
const ORDER_KEY = 'op/rollout/shop';

/** Orders a version, at a later revision than the orders before. */
function order(world: StoppedWorld, targetVersion: string, service = 'shop'): void {
  const orderRevision = world.order.orderRevision + 10;
  world.order = { ...world.order, orderRevision };
  world.rollouts.setOrder({ ...world.order, service, targetVersion });
  if (service === 'shop') {
    world.order = { ...world.order, targetVersion };
  }
}

/** The versions that calls go to while only targets of the ones known so far run. */
function listVersions(world: StoppedWorld, service: string): string {
  const targets = TARGETS.map((target) => ({ ...target, service }));
  const selected = Array.from({ length: 100 }, () => world.rollouts.select(service, targets));
  const versions = new Set(selected.flat().map(({ version }) => version));
  return [...versions].sort().join(', ');
}

When('{string} is ordered', function when(this: StoppedWorld, version: string) {
  order(this, version);
});

When(
  '{string} and then {string} are ordered for {string}',
  function when(this: StoppedWorld, first: string, second: string, service: string) {
    order(this, first, service);
    order(this, second, service);
  },
);

When('the order has ended as {string}', function when(this: StoppedWorld, state: RolloutState) {
  this.rollouts.setStored({
    status: { service: 'shop', targetVersion: this.order.targetVersion, state },
    revision: this.order.orderRevision + 1,
  });
});

When(
  'the store has the order as {string}, with nothing stopped',
  function when(this: StoppedWorld, state: RolloutState) {
    const { service, targetVersion, orderRevision } = this.order;
    const status = { service, targetVersion, state, stoppedVersions: [] };
    this.rollouts.setStored({ status, revision: orderRevision + 1 });
  },
);

When(
  'the store turns out to have had the order of {string} as {string}',
  function when(this: StoppedWorld, targetVersion: string, state: RolloutState) {
    const status = { service: 'shop', targetVersion, state };
    this.rollouts.setStored({ status, revision: this.order.orderRevision - 1 });
  },
);

Then('calls go to {string}', function then(this: StoppedWorld, versions: string) {
  // Versions that have never been ordered run from the start; they count only where a step names them.
  const named = new Set([...versions.split(', '), 'v2']);
  const listed = listVersions(this, 'shop').split(', ');
  assert.deepEqual(
    listed.filter((version) => named.has(version)),
    versions.split(', '),
  );
});

Then(
  'calls for {string} go to {string}',
  function then(this: StoppedWorld, service: string, versions: string) {
    const named = new Set([...versions.split(', '), 'v3']);
    const listed = listVersions(this, service).split(', ');
    assert.equal(listed.filter((version) => named.has(version)).join(', '), versions);
  },
);

Then('stage workers get pieces on {string}', function then(this: StoppedWorld, version: string) {
  const usable = TARGETS.slice(0, 3).filter((target) => !this.rollouts.isUnproved(target));
  assert.deepEqual(
    usable.map((target) => target.version),
    [version],
  );
});

When('{int} runs fail on "v2" and none on "v1"', function when(this: StoppedWorld, runs: number) {
  const [old, bad] = TARGETS;
  assert.ok(old && bad);
  for (let run = 0; run < runs; run += 1) {
    this.rollouts.observe({ target: bad, route: 'buy', ending: 'failed', paceMs: 100 });
    this.rollouts.observe({ target: old, route: 'buy', ending: 'good', paceMs: 100 });
  }
});

Then(
  'the owner gets {int} runs of the old version, none of which failed',
  function then(this: StoppedWorld, runs: number) {
    const [evidence] = this.rollouts.takeEvidence();
    assert.equal(evidence?.oldRuns.runs, runs);
    assert.equal(evidence.oldRuns.failures, 0);
  },
);

Given(
  /^a router whose store has the state (\S+) of "(\S+)", with "([^"]*)" stopped, written (before|after) the order of "v3"$/,
  function given(
    this: StoppedWorld,
    state: RolloutState,
    targetVersion: string,
    stopped: string,
    when: string,
  ) {
    this.rollouts = createRollouts(this);
    this.order = { ...this.order, targetVersion: 'v3' };
    const stoppedVersions = stopped.split(', ').filter((version) => version !== '');
    const revision = ORDER_REVISION + (when === 'after' ? 1 : -1);
    const status = { service: 'shop', targetVersion, state, stoppedVersions };
    this.rollouts.setOrder(this.order);
    this.rollouts.setStored({ status, revision });
  },
);

const statusEntries: RolloutStatusEntries = {
  prefix: 'status/',
  decode: ({ value }) => JSON.parse(value.toString('utf8')) as RolloutStatus,
  encode: (status) => ({
    key: `status/${status.service}`,
    value: Buffer.from(JSON.stringify(status)),
  }),
};

Then('the owner writes {string} as stopped', function then(this: StoppedWorld, version: string) {
  const [decision] = this.rollouts.decide(() => true);
  assert.deepEqual(decision?.stoppedVersions, [version]);
});

Then('it writes again while the store lacks it', function then(this: StoppedWorld) {
  const [decision] = this.rollouts.decide(() => true);
  assert.ok(decision);
  const statuses = RolloutStatuses.create({ entries: statusEntries, onStatus: () => {} });
  const store = (status: RolloutStatus): void => {
    const entry = { ...statusEntries.encode(status), revision: decision.orderRevision + 1 };
    statuses.handlers().onChange({ kind: 'put', entry });
  };
  const { service, targetVersion, state } = decision;
  store({ service, targetVersion, state });
  assert.equal(statuses.isStored(decision), false);
  store(decision);
  assert.equal(statuses.isStored(decision), true);
});

const operatorEntries: OperatorEntryDecoder = {
  prefix: 'op/',
  decode: ({ value, revision: orderRevision }) => ({
    kind: 'rollout',
    order: { ...(JSON.parse(value.toString('utf8')) as RolloutOrder), orderRevision },
  }),
  zoneOfKey: () => undefined,
};

function createOrderEntry(targetVersion: string, revision: number): PrefixEntry {
  const value = JSON.stringify({ service: 'shop', targetVersion, durationMs: 15_000 });
  return { key: ORDER_KEY, value: Buffer.from(value), revision };
}

When(
  'the store is restored to a copy with the order of {string}, and read',
  function when(this: StoppedWorld, version: string) {
    const timer = TimerService.create({ clock: this.rolloutClock });
    this.operatorHandlers = createOperatorHandlers({
      timer,
      log: () => {},
      operatorEntries,
      routes: RouteTable.create(),
      targets: TargetDirectory.create({ timer, onChange: () => {} }),
      rollouts: this.rollouts,
      onChanged: () => {},
    });
    const { targetVersion, orderRevision } = this.order;
    const known = createOrderEntry(targetVersion, orderRevision);
    this.operatorHandlers.onEntries([known], { isRestored: false });
    this.rollouts.onStoreRestored();
    const read = createOrderEntry(version, orderRevision - 10);
    this.operatorHandlers.onEntries([read], { isRestored: true });
  },
);

When(
  "the router's clock advances by {int} ms",
  async function when(this: StoppedWorld, byMs: number) {
    await this.rolloutClock.advance({ byMs });
  },
);

When(
  'the operator writes the order of {string} again',
  function when(this: StoppedWorld, version: string) {
    const entry = createOrderEntry(version, this.order.orderRevision + 5);
    this.operatorHandlers.onChange({ kind: 'put', entry });
  },
);

Given('the router is cut off from the store', function given(this: StoppedWorld) {
  this.isCutOff = true;
});

When('the router reaches the store again', function when(this: StoppedWorld) {
  this.isCutOff = false;
});
