import type { PlacedFake } from './collectLedgers.js';
import { type Deployment, planTargetHosts } from './deployment.js';
import type { FakeTargetPlan, PlatformPlan } from './fakePlan.js';
import type { EntrySettingsText, GateSettingsText, NodeSettingsText } from './renderSettings.js';
import { takePorts } from './takePorts.js';

/** A deployment with a port for each listener. */
export interface PlacedDeployment {
  readonly platform: PlatformPlan;
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly fakes: readonly (FakeTargetPlan & PlacedFake)[];
  readonly gates: readonly Omit<GateSettingsText, 'coldInFlightLimit' | 'inFlightLimit'>[];
  readonly entries: readonly Omit<EntrySettingsText, 'routingPolicy'>[];
}

/** Gives every listener of a deployment a port on loopback. */
export async function placeDeployment(deployment: Deployment): Promise<PlacedDeployment> {
  const hosts = planTargetHosts(deployment);
  const targetCount = hosts.flatMap(({ targets }) => targets).length;
  const nodeCount = hosts.length + deployment.entryCount;
  const ports = [...(await takePorts(3 + targetCount + 2 * nodeCount + deployment.entryCount))];
  const takePort = (): number => ports.pop() ?? 0;
  const platform = {
    storePort: takePort(),
    hostListPort: takePort(),
    metricsPort: takePort(),
  };
  const place = (nodeName: string, availabilityZone: string): NodeSettingsText => ({
    nodeName,
    availabilityZone,
    linkPort: takePort(),
    operatorPort: takePort(),
    storeUrl: urlOf(platform.storePort),
    hostListUrl: urlOf(platform.hostListPort),
    metricsPort: platform.metricsPort,
  });
  const gates = hosts.map(({ name, availabilityZone, targets }) => ({
    ...place(name, availabilityZone),
    targets: targets.map((target) => {
      const port = takePort();
      return { ...target, port, url: urlOf(port), availabilityZone };
    }),
  }));
  const entries = Array.from({ length: deployment.entryCount }, (_, index) => ({
    ...place(
      `entry-${index + 1}`,
      deployment.availabilityZones[index % deployment.availabilityZones.length] ?? '',
    ),
    callerPort: takePort(),
  }));
  return {
    platform,
    storeUrl: urlOf(platform.storePort),
    hostListUrl: urlOf(platform.hostListPort),
    fakes: gates.flatMap(({ targets }) => targets),
    gates,
    entries,
  };
}

function urlOf(port: number): string {
  return `http://127.0.0.1:${port}`;
}
