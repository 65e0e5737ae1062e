import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { computeRefusedPauseMs } from '@galenatiller/pool';
import type { Member } from '@galenatiller/store';
import createXxhash from 'xxhash-wasm';

import {
  chooseShard,
  OwnerCredit,
  ServiceOwners,
  ServiceShards,
  type Shard,
} from '../src/ownership/index.js';
import { LIMITS } from './overloadTypes.js';

interface ShardsWorld {
  members: readonly Member[];
  stageWorkers: readonly { id: string; service: string; availabilityZone: string }[];
  serviceShards: ServiceShards;
  zoneShards: readonly Shard[];
  zoneWaitsMs: ReadonlyMap<string, number>;
  zonesWithoutWorkers: Set<string>;
  credit: OwnerCredit;
}

const { h32 } = await createXxhash();
const SERVICE = 'stage';
const ROUTERS = 20;
const MAX_SHARE = 0.5;

Given(
  '{int} workers in {int} zones, and routers of {float} cores',
  function given(this: ShardsWorld, workers: number, zones: number, cpuCores: number) {
    this.members = Array.from({ length: ROUTERS }, (_, index) => ({
      name: `router-${index}`,
      address: `10.0.0.${index}:1`,
      cpuCores,
      availabilityZone: `z${index % zones}`,
      leavingSince: 0,
    }));
    this.stageWorkers = Array.from({ length: workers }, (_, index) => ({
      id: `worker-${index}`,
      service: SERVICE,
      availabilityZone: `z${index % zones}`,
    }));
    this.serviceShards = ServiceShards.create({ hash: h32, findLimits: () => LIMITS });
    this.serviceShards.update({ workers: this.stageWorkers, members: this.members });
  },
);

Then(
  'the service has {int} shards, and each worker belongs to one of them',
  function then(this: ShardsWorld, count: number) {
    const shards = this.serviceShards.findShards(SERVICE);
    assert.equal(shards.length, count);
    this.stageWorkers.forEach((worker) =>
      assert.equal(shards.includes(this.serviceShards.findShardOf(worker)), true),
    );
  },
);

Then(
  'no shard needs more than half of the CPU of a router, unless it has one worker',
  function then(this: ShardsWorld) {
    const cpuCores = this.members[0]?.cpuCores ?? 0;
    this.serviceShards.all().forEach((shard) => {
      const workers = this.stageWorkers.filter(
        (worker) => this.serviceShards.findShardOf(worker) === shard,
      );
      // Workers are spread over the shards of a zone by a hash, not evenly.
      const isCarried = shard.loadCores <= 2 * MAX_SHARE * cpuCores;
      assert.equal(isCarried || workers.length === 1, true, JSON.stringify(shard));
    });
  },
);

function createOwners(world: ShardsWorld, selfName: string): ServiceOwners {
  const owners = ServiceOwners.create({ selfName, hash: h32 });
  owners.setMembers(world.members);
  owners.setShards(world.serviceShards.all());
  return owners;
}

Then(
  'each shard has one owner and two deputies, the same for every router',
  function then(this: ShardsWorld) {
    const first = createOwners(this, 'router-0');
    const last = createOwners(this, 'router-19');
    this.serviceShards.all().forEach(({ key }) => {
      assert.equal(new Set(first.findCandidates(key)).size, 3);
      assert.deepEqual(first.findCandidates(key), last.findCandidates(key));
    });
  },
);

Then('no router owns more than half of its CPU', function then(this: ShardsWorld) {
  const owners = createOwners(this, 'router-0');
  this.members.forEach(({ name, cpuCores }) => {
    const ownedCores = this.serviceShards
      .all()
      .filter(({ key }) => owners.findOwner(key) === name)
      .reduce((sum, { loadCores }) => sum + loadCores, 0);
    assert.equal(ownedCores <= MAX_SHARE * cpuCores, true, `${name} owns ${ownedCores}`);
  });
});

Then('owner and deputies of a shard are in three zones', function then(this: ShardsWorld) {
  const owners = createOwners(this, 'router-0');
  const zoneOf = new Map(
    this.members.map(({ name, availabilityZone }) => [name, availabilityZone]),
  );
  this.serviceShards.all().forEach(({ key }) => {
    const zones = owners.findCandidates(key).map((name) => zoneOf.get(name));
    assert.equal(new Set(zones).size, 3);
  });
});

Given(
  'shards in the zones {string} and {string} with waits of {int} ms and {int} ms',
  function given(this: ShardsWorld, first: string, second: string, one: number, other: number) {
    this.zoneShards = [first, second].map((zone) => ({
      key: `${SERVICE}/${zone}/0`,
      service: SERVICE,
      zones: [zone],
      loadCores: 0.1,
    }));
    this.zoneWaitsMs = new Map([
      [first, one],
      [second, other],
    ]);
    this.zonesWithoutWorkers = new Set();
  },
);

Given('the workers of {string} are gone', function given(this: ShardsWorld, zone: string) {
  this.zonesWithoutWorkers.add(zone);
});

Then(
  'a piece with its inputs in {string} goes to the shard in {string}',
  function then(this: ShardsWorld, inputZone: string, zone: string) {
    const chosen = chooseShard({
      shards: this.zoneShards,
      piece: { requestId: 'request', zoneHint: '' },
      inputZone,
      ownZone: '',
      waitMs: ({ zones }) => this.zoneWaitsMs.get(zones[0] ?? '') ?? 0,
      hasWorkers: ({ zones }) => !this.zonesWithoutWorkers.has(zones[0] ?? ''),
      hash: h32,
    });
    assert.deepEqual(chosen?.zones, [zone]);
  },
);

Given('a router with {int} pieces in progress', function given(this: ShardsWorld, pieces: number) {
  this.credit = OwnerCredit.create({ piecesInProgress: () => pieces });
});

When(
  'its timers fire {int} ms late {int} times',
  function when(this: ShardsWorld, lagMs: number, times: number) {
    Array.from({ length: times }).forEach(() => this.credit.recordLag(lagMs));
  },
);

Then(
  'it accepts no more pieces, and each of {int} peers may have at most {int}',
  function then(this: ShardsWorld, peers: number, pieces: number) {
    assert.equal(this.credit.canAccept(), false);
    assert.equal(this.credit.perPeer(peers) <= pieces, true);
  },
);

Then('it accepts pieces without a limit', function then(this: ShardsWorld) {
  assert.equal(this.credit.canAccept(), true);
  assert.equal(this.credit.perPeer(4), Infinity);
});

Then(
  'the mean pause of each of {int} senders after a refusal is {int} times that of an only sender',
  (senders: number, times: number) => {
    const only = computeRefusedPauseMs({ refusals: 1, senders: 1, random: () => 0.5 });
    const each = computeRefusedPauseMs({ refusals: 1, senders, random: () => 0.5 });
    assert.equal(each, times * only);
  },
);
