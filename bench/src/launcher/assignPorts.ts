import { findFreePorts } from '@galenatiller/fakes';

import type { FakeEndpoint } from './collectLedgers.js';
import { type Deployment, planTargetHosts } from './deployment.js';
import type { FakeTargetPlan, PlatformPlan } from './fakePlan.js';
import type {
  EntrySettingsValues,
  GateSettingsValues,
  NodeSettingsValues,
} from './renderSettings.js';

/** A deployment with a port for each listener. */
export interface DeploymentLayout {
  readonly platform: PlatformPlan;
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly fakes: readonly (FakeTargetPlan & FakeEndpoint)[];
  readonly gates: readonly Omit<GateSettingsValues, 'coldInFlightLimit' | 'inFlightLimit'>[];
  readonly entries: readonly Omit<EntrySettingsValues, 'routingPolicy'>[];
}

/** Assigns a free loopback port to every listener of a deployment. */
export async function assignPorts(deployment: Deployment): Promise<DeploymentLayout> {
  const hosts = planTargetHosts(deployment);
  const targetCount = hosts.flatMap(({ targets }) => targets).length;
  const nodeCount = hosts.length + deployment.entryCount;
  const ports = [...(await findFreePorts(3 + targetCount + 2 * nodeCount + deployment.entryCount))];
  const takePort = (): number => ports.pop() ?? 0;
  const platform = {
    storePort: takePort(),
    hostListPort: takePort(),
    metricsPort: takePort(),
  };
  const createNodeValues = (nodeName: string, availabilityZone: string): NodeSettingsValues => ({
    nodeName,
    availabilityZone,
    linkPort: takePort(),
    operatorPort: takePort(),
    storeUrl: getLoopbackUrl(platform.storePort),
    hostListUrl: getLoopbackUrl(platform.hostListPort),
    metricsPort: platform.metricsPort,
  });
  const gates = hosts.map(({ name, availabilityZone, targets }) => ({
    ...createNodeValues(name, availabilityZone),
    targets: targets.map((target) => {
      const port = takePort();
      return { ...target, port, url: getLoopbackUrl(port), availabilityZone };
    }),
  }));
  const entries = Array.from({ length: deployment.entryCount }, (_, index) => ({
    ...createNodeValues(
      `entry-${index + 1}`,
      deployment.availabilityZones[index % deployment.availabilityZones.length] ?? '',
    ),
    callerPort: takePort(),
  }));
  return {
    platform,
    storeUrl: getLoopbackUrl(platform.storePort),
    hostListUrl: getLoopbackUrl(platform.hostListPort),
    fakes: gates.flatMap(({ targets }) => targets),
    gates,
    entries,
  };
}

function getLoopbackUrl(port: number): string {
  return `http://127.0.0.1:${port}`;
}
