/** The two deployments that the bench starts, and the types that describe them. */
import type { TargetKind } from '@galenatiller/types';

/** Names of the deployments. */
export type DeploymentName = 'lautoka' | 'rekvisitlanet';

/** A group of interchangeable targets. */
export interface GroupPlan {
  readonly kind: TargetKind;
  readonly group: string;
  readonly count: number;
}

/** Description of a deployment. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly rulesFile: string;
  readonly availabilityZones: readonly string[];
  /** Target groups, the engines first; the engines set the number of target hosts. */
  readonly groups: readonly GroupPlan[];
  readonly entryCount: number;
  /** A small organisation that sends far more than its share in the scenario `flood`. */
  readonly floodOrganisation: string;
}

/** A target, before it has an address. */
export interface TargetPlan {
  readonly name: string;
  readonly kind: TargetKind;
  readonly group: string;
  readonly version: string;
}

/** One target host: a gate with its targets. */
export interface TargetHostPlan {
  readonly name: string;
  readonly availabilityZone: string;
  readonly targets: readonly TargetPlan[];
}

/** Version that every engine starts with. */
const FIRST_VERSION = 'v1';

const WORKERS_PER_GROUP = 3;
const ENTRY_COUNT = 3;
const POOLS = ['encoder', 'retriever', 'reranker'] as const;

/** The deployments by name. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  lautoka: {
    name: 'lautoka',
    rulesFile: 'examples/lautoka.rules',
    availabilityZones: ['north-a', 'north-b', 'north-c'],
    groups: planGroups(8, ['floor', 'measurement', 'shipping', 'inventory']),
    entryCount: ENTRY_COUNT,
    floodOrganisation: 'lautoka-training',
  },
  rekvisitlanet: {
    name: 'rekvisitlanet',
    rulesFile: 'examples/rekvisitlanet.rules',
    availabilityZones: ['east-a', 'east-b', 'west-a'],
    groups: planGroups(13, ['booking', 'member', 'transport', 'workshop']),
    entryCount: ENTRY_COUNT,
    floodOrganisation: 'workshop-crew',
  },
};

/** Distributes the targets over hosts: one engine per host, each group over all zones. */
export function planTargetHosts(deployment: Deployment): readonly TargetHostPlan[] {
  const { availabilityZones, groups } = deployment;
  const hostCount = Math.max(...groups.map((group) => group.count));
  const hosts = Array.from({ length: hostCount }, (_, index) => ({
    name: `target-host-${index + 1}`,
    availabilityZone: availabilityZones[index % availabilityZones.length] ?? '',
    targets: [] as TargetPlan[],
  }));
  groups.forEach((group) => {
    Array.from({ length: group.count }, (_, index) => index).forEach((index) => {
      const zone = availabilityZones[index % availabilityZones.length] ?? '';
      const host = group.kind === 'engine' ? hosts[index] : findLeastLoadedHost(hosts, zone);
      host?.targets.push({
        name: `${group.group}-${index + 1}`,
        kind: group.kind,
        group: group.group,
        version: FIRST_VERSION,
      });
    });
  });
  return hosts;
}

function findLeastLoadedHost<Host extends TargetHostPlan>(
  hosts: readonly Host[],
  availabilityZone: string,
): Host | undefined {
  return hosts
    .filter((host) => host.availabilityZone === availabilityZone)
    .sort((left, right) => left.targets.length - right.targets.length)[0];
}

function planGroups(engineCount: number, services: readonly string[]): readonly GroupPlan[] {
  return [
    { kind: 'engine', group: 'drafter', count: engineCount },
    ...POOLS.map((group) => ({ kind: 'pool' as const, group, count: WORKERS_PER_GROUP })),
    ...services.map((group) => ({ kind: 'service' as const, group, count: WORKERS_PER_GROUP })),
  ];
}
