import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { EntryHandlers, PrefixEntry } from '@galenatiller/store';
import { TargetDirectory } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget, RouterConfig } from '@galenatiller/types';

import { createOperatorHandlers } from '../src/createOperatorHandlers.js';
import { createTargetHandlers } from '../src/createTargetHandlers.js';
import type { OperatorEntryDecoder, TargetEntryDecoder } from '../src/entryDecoders.js';
import { RouteTable } from '../src/routeTable.js';
import { CALLER_LIMITS } from './testLimits.js';
import { createTestRollouts } from './testRollouts.js';

interface RestoredWorld {
  restoredClock: ManualClock;
  targets: TargetDirectory;
  routeTable: RouteTable;
  targetHandlers: EntryHandlers;
  operatorHandlers: EntryHandlers;
}

const ZONE_PREFIX = 'op/out/';
const ZONE_KEY = `${ZONE_PREFIX}zone`;

/** Entries of targets: the state and the start of the process. */
const targetEntries: TargetEntryDecoder = {
  prefix: 't/',
  idOfKey: (key) => key.slice(2),
  decode: ({ key, value, revision: storeRevision }) => {
    const [state, startedWallMs] = value.toString('utf8').split(' ');
    const id = key.slice(2);
    const target: RegisteredTarget = {
      id,
      startedWallMs: Number(startedWallMs),
      service: 'shop',
      address: `10.0.0.1:${id.charCodeAt(0)}`,
      availabilityZone: 'zone',
      version: 'v1',
      slots: 4,
      state: state === 'draining' ? 'draining' : 'ready',
    };
    return { id, target, storeRevision };
  },
};

const operatorEntries: OperatorEntryDecoder = {
  prefix: 'op/',
  decode: () => ({ kind: 'zone-out', zone: 'zone' }),
  zoneOfKey: (key) => (key === ZONE_KEY ? 'zone' : undefined),
};

function createEntry(id: string, opts: { readonly value?: string } = {}): PrefixEntry {
  return { key: `t/${id}`, value: Buffer.from(opts.value ?? 'ready 1'), revision: 3 };
}

const zoneEntry: PrefixEntry = { key: ZONE_KEY, value: Buffer.from('{}'), revision: 4 };

Given(
  'a router that has read the targets "a", "b" and "c", of which "b" drains and "c" has left',
  function given(this: RestoredWorld) {
    this.restoredClock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock: this.restoredClock });
    this.targets = TargetDirectory.create({ timer, onChange: () => {} });
    const common = { timer, log: () => {}, targets: this.targets, onChanged: () => {} };
    this.targetHandlers = createTargetHandlers({ ...common, targetEntries });
    this.operatorHandlers = createOperatorHandlers({
      ...common,
      operatorEntries,
      routes: RouteTable.create(),
      rollouts: createTestRollouts(timer),
    });
    const entries = ['a', 'b', 'c'].map((id) => createEntry(id));
    this.targetHandlers.onEntries(entries, { isRestored: false });
    this.targetHandlers.onChange({
      kind: 'put',
      entry: createEntry('b', { value: 'draining 1' }),
    });
    this.targetHandlers.onChange({ kind: 'delete', key: 't/c', revision: 9 });
  },
);

Given('the operator has taken the zone "zone" out', function given(this: RestoredWorld) {
  this.operatorHandlers.onEntries([zoneEntry], { isRestored: false });
});

When(
  /^the store is restored with the targets "([^"]*)"( of new processes)?$/,
  function when(this: RestoredWorld, ids: string, isNew: string | null) {
    const value = isNew ? 'ready 2' : 'ready 1';
    const entries = ids
      .split(', ')
      .filter((id) => id !== '')
      .map((id) => createEntry(id, { value }));
    this.targetHandlers.onEntries(entries, { isRestored: true });
  },
);

When(
  'the targets {string} are read again, since the history was lost',
  function when(this: RestoredWorld, ids: string) {
    const entries = ids.split(', ').map((id) => createEntry(id));
    this.targetHandlers.onEntries(entries, { isRestored: false });
  },
);

Given('the target {string} has restarted', function given(this: RestoredWorld, id: string) {
  this.targetHandlers.onChange({ kind: 'put', entry: createEntry(id, { value: 'ready 2' }) });
});

Then(
  'the process of target {string} is the new one',
  function then(this: RestoredWorld, id: string) {
    const found = this.targets.findUsable('shop').find((target) => target.id === id);
    assert.equal(found?.startedWallMs, 2);
  },
);

When("the operator's entries are restored without it", function when(this: RestoredWorld) {
  this.operatorHandlers.onEntries([], { isRestored: true });
});

When('{int} ms pass for the router', function when(this: RestoredWorld, byMs: number) {
  return this.restoredClock.advance({ byMs });
});

When(
  '{int} ms pass and the target {string} is written again',
  async function when(this: RestoredWorld, byMs: number, id: string) {
    await this.restoredClock.advance({ byMs });
    this.targetHandlers.onChange({ kind: 'put', entry: createEntry(id) });
  },
);

When(
  '{int} ms pass and the operator writes it again',
  async function when(this: RestoredWorld, byMs: number) {
    await this.restoredClock.advance({ byMs });
    this.operatorHandlers.onChange({ kind: 'put', entry: zoneEntry });
  },
);

When('the operator takes the zone in again', function when(this: RestoredWorld) {
  this.operatorHandlers.onChange({ kind: 'delete', key: ZONE_KEY, revision: 12 });
});

Then(
  'the usable targets of the router are {string}',
  function then(this: RestoredWorld, ids: string) {
    const usable = this.targets.findUsable('shop').map(({ id }) => id);
    assert.equal(usable.sort().join(', '), ids);
  },
);

function createConfiguration(version: number): RouterConfig {
  return {
    version,
    routes: [],
    invalidRoutes: [],
    unreadable: [],
    services: [],
    organisations: undefined,
    callerLimits: CALLER_LIMITS,
  };
}

Given(
  'the router has the configuration {int}',
  function given(this: RestoredWorld, version: number) {
    this.routeTable = RouteTable.create();
    this.routeTable.update(createConfiguration(version));
  },
);

When(
  'it reads the configuration {int} from the restored store',
  function when(this: RestoredWorld, version: number) {
    this.routeTable.update(createConfiguration(version));
  },
);

Then(
  /^it still has the configuration (\d+), and the store is( not)? behind$/,
  function then(this: RestoredWorld, version: string, not: string | null) {
    assert.equal(this.routeTable.currentConfiguration()?.version, Number(version));
    assert.equal(this.routeTable.isStoreBehind, not === null);
  },
);
