/** The policies that a simulated fleet follows. */
import { computeRefusedPauseMs } from '@galenatiller/pool';

import { ServiceOwners, ServiceShards } from '../src/ownership/index.js';
import { LIMITS, type OverloadOptions } from './overloadTypes.js';

/** The policy of the router. */
export function createPresentPolicy(
  hash: (text: string) => number,
  random: () => number,
): OverloadOptions['createPolicy'] {
  return ({ members, workers }) => {
    const shards = ServiceShards.create({ hash, findLimits: () => LIMITS });
    const owners = ServiceOwners.create({ selfName: '', hash });
    shards.update({ workers, members });
    owners.setMembers(members);
    owners.setShards(shards.all());
    return {
      candidates: (shard) => owners.findCandidates(shard),
      shardOf: (worker) => shards.findShardOf(worker).key,
      shardsOf: (service) => shards.findShards(service).map(({ key }) => key),
      hasCredit: true,
      slowAfterMs: 600,
      lostAfterMs: 1_200,
      submitsAlone: false,
      refusedPauseMs: (opts) => computeRefusedPauseMs({ ...opts, random }),
    };
  };
}

/**
 * The policy of earlier versions, to compare with: one owner for a whole service, which counts as lost
 * when it is slow; then every router submits the pieces of its calls by itself.
 */
export function createFormerPolicy(
  hash: (text: string) => number,
): OverloadOptions['createPolicy'] {
  return ({ members }) => {
    const maxCores = Math.max(...members.map(({ cpuCores }) => cpuCores));
    const large = members.filter(({ cpuCores }) => cpuCores >= maxCores / 2);
    const findOwner = (service: string): string =>
      large
        .map(({ name }) => ({ name, rank: hash(`${service} ${name}`) }))
        .reduce((best, one) => (one.rank > best.rank ? one : best)).name;
    return {
      candidates: (service) => [findOwner(service)],
      shardOf: ({ service }) => service,
      shardsOf: (service) => [service],
      hasCredit: false,
      slowAfterMs: 600,
      lostAfterMs: 600,
      submitsAlone: true,
      refusedPauseMs: () => 40,
    };
  };
}
