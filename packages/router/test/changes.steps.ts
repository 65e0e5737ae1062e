import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import type { Member } from '@galenatiller/store';
import fc from 'fast-check';
import createXxhash from 'xxhash-wasm';

import { ServiceOwners, ServiceShards } from '../src/ownership/index.js';
import { LIMITS } from './overloadTypes.js';

const { h32: hash } = await createXxhash();
const SERVICES = ['x', 'y'];
const TASK = 'task';
const SHARERS = 4;

interface Worker {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
}

const step = fc.record({
  isMember: fc.boolean(),
  isRemoved: fc.boolean(),
  number: fc.nat(9),
  service: fc.constantFrom(...SERVICES),
  zone: fc.constantFrom('z1', 'z2', 'z3'),
  cpuCores: fc.constantFrom(0.02, 0.04, 0.05),
  isLeaving: fc.boolean(),
});

function createParts(): { readonly shards: ServiceShards; readonly owners: ServiceOwners } {
  return {
    shards: ServiceShards.create({ hash, findLimits: () => LIMITS }),
    owners: ServiceOwners.create({ selfName: 'self', hash }),
  };
}

function describe({ shards, owners }: ReturnType<typeof createParts>): unknown {
  const known = shards.all().toSorted((left, right) => (left.key < right.key ? -1 : 1));
  return {
    shards: known.map(({ zones, ...shard }) => ({ ...shard, zones: zones.toSorted() })),
    owners: known.map(({ key }) => owners.findCandidates(key)),
    sharers: [owners.findSharers(TASK, SHARERS), owners.findSharers(`${TASK} 1`, 1)],
  };
}

Then(
  'over {int} random sequences of changes shards and owners equal those of a router that has just started',
  (numRuns: number) => {
    const property = fc.property(fc.array(step, { maxLength: 25 }), (steps) => {
      const followed = createParts();
      const members = new Map<string, Member>();
      const workers = new Map<string, Worker>();
      steps.forEach(({ isMember, isRemoved, number, service, zone, cpuCores, isLeaving }) => {
        const [id, name] = [`worker-${service}-${number}`, `router-${number}`];
        const worker = { id, service, availabilityZone: zone };
        const leavingSince = isLeaving ? 1 : 0;
        const member = { name, address: name, cpuCores, availabilityZone: zone, leavingSince };
        if (isMember) {
          members.delete(name);
          members.set(name, isRemoved ? { ...member, leavingSince: 0 } : member);
        } else if (isRemoved) {
          workers.delete(id);
        } else {
          workers.set(id, worker);
        }
        const known = [...members.values()];
        const findWorkers = (wanted: string): readonly Worker[] =>
          [...workers.values()].filter((found) => found.service === wanted);
        if (isMember) {
          followed.owners.setMembers(known);
        }
        const services = new Set(isMember ? [] : [service]);
        if (followed.shards.follow({ services, findWorkers, members: known }).size > 0) {
          followed.owners.setShards(followed.shards.all());
        }
        const started = createParts();
        started.shards.update({ workers: [...workers.values()], members: known });
        started.owners.setMembers(known);
        started.owners.setShards(started.shards.all());
        assert.deepEqual(describe(followed), describe(started));
      });
    });
    fc.assert(property, { numRuns, seed: 17 });
  },
);
