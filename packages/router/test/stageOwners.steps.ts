import assert from 'node:assert/strict';

import { After, Given, Then } from '@cucumber/cucumber';
import { ResultMemory } from '@galenatiller/pool';
import type { Member } from '@galenatiller/store';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import createXxhash from 'xxhash-wasm';

import { StageOwners } from '../src/stageOwners.js';

interface OwnersWorld {
  ownerRouters: ReadonlyMap<string, StageOwners>;
  serviceOwners: ReadonlySet<string>;
}

const { h32 } = await createXxhash();

Given(
  'routers {string} with {float} cores and {string} with {float} cores',
  function given(
    this: OwnersWorld,
    first: string,
    firstCores: number,
    second: string,
    secondCores: number,
  ) {
    const members = [
      ...createMembers(first, firstCores),
      ...createMembers(second, secondCores),
    ] as const;
    this.ownerRouters = new Map(members.map(({ name }) => [name, createOwners(name)]));
    this.ownerRouters.forEach((owners) => owners.setMembers(members));
  },
);

After({ tags: '@router' }, function after(this: Partial<OwnersWorld>) {
  this.ownerRouters?.forEach((owners) => owners.setMembers([]));
});

Then(
  'each of {int} services has one owner, the same for every router',
  function then(this: OwnersWorld, services: number) {
    const owners = Array.from({ length: services }, (_, index) => {
      const found = [...this.ownerRouters].filter(([, router]) => router.isOwner(`stage-${index}`));
      assert.equal(found.length, 1);
      return found[0]?.[0] ?? '';
    });
    this.serviceOwners = new Set(owners);
  },
);

Then('the owners are {string}', function then(this: OwnersWorld, names: string) {
  assert.deepEqual([...this.serviceOwners].sort(), names.split(','));
});

function createMembers(names: string, cpuCores: number): readonly Member[] {
  return names.split(',').map((name) => ({ name, address: '127.0.0.1:1', cpuCores }));
}

function createOwners(selfName: string): StageOwners {
  const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 1_000_000 }) });
  return StageOwners.create({
    timer,
    selfName,
    hash: h32,
    submitLocally: () => Promise.reject(new Error('not used')),
    resultMemory: ResultMemory.create({
      timer,
      freeResults: () => Promise.resolve(),
      onMemoryFreed: () => {},
    }),
    onLinkEvent: () => {},
    currentCrashes: () => [],
    tasks: TaskGroup.create({ onFailure: () => {} }),
  });
}
