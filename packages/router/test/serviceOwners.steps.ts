import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { Member } from '@galenatiller/store';
import createXxhash from 'xxhash-wasm';

import { ServiceOwners } from '../src/ownership/index.js';

interface OwnersWorld {
  ownerRouters: ReadonlyMap<string, ServiceOwners>;
  routerMembers: readonly Member[];
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
    this.routerMembers = members;
    this.ownerRouters = new Map(members.map(({ name }) => [name, createOwners(name)]));
    this.ownerRouters.forEach((owners) => owners.setMembers(members));
  },
);

When('{string} begin to leave', function when(this: OwnersWorld, names: string) {
  const order = names.split(',');
  const members = this.routerMembers.map((member) => ({
    ...member,
    leavingSince: order.indexOf(member.name) + 1,
  }));
  this.ownerRouters.forEach((owners) => owners.setMembers(members));
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
  return names.split(',').map((name) => ({
    name,
    address: '127.0.0.1:1',
    cpuCores,
    availabilityZone: '',
    leavingSince: 0,
  }));
}

function createOwners(selfName: string): ServiceOwners {
  return ServiceOwners.create({ selfName, hash: h32 });
}
