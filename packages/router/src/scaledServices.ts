import type { ScaledService } from '@galenatiller/provider';
import type { TargetDirectory } from '@galenatiller/target';
import type { LoadUpdate, RegisteredTarget, ScalingRange } from '@galenatiller/types';

import type { CallCounter } from './callCounter.js';
import type { RouteTable } from './routeTable.js';

/** What is known of services and their workers. */
export interface ScaledParts {
  readonly routes: Pick<RouteTable, 'currentConfiguration'>;
  readonly targets: Pick<TargetDirectory, 'findRegistered' | 'zonesTakenOut'>;
  /** Calls in flight, by target. */
  readonly inFlight: Pick<CallCounter, 'count'>;
  /** Calls that wait for a target, by service. */
  readonly waiting: Pick<CallCounter, 'count'>;
}

/**
 * The services with a range for their number of workers, and how busy this router sees them. Stage
 * services are left out: their load is known to their owners only.
 */
export class ScaledServices {
  /** Zones in which a service has run since the start of this router. */
  private readonly zones = new Map<string, Set<string>>();

  private constructor(private readonly parts: ScaledParts) {}

  /** Creates an instance that has seen no worker. */
  static create(parts: ScaledParts): ScaledServices {
    return new ScaledServices(parts);
  }

  /** The services and their workers that take calls. */
  services(): readonly ScaledService[] {
    const zonesOut = this.parts.targets.zonesTakenOut();
    return this.ranges().map(({ service, range }) => {
      const targets = this.findTargets(service);
      const zones = this.zones.get(service) ?? new Set();
      this.zones.set(service, zones);
      targets.forEach(({ availabilityZone }) => zones.add(availabilityZone));
      return {
        service,
        range,
        zones: [...zones].sort().map((zone) => {
          const serving = targets.filter(
            ({ availabilityZone, state }) =>
              availabilityZone === zone && state === 'ready' && !zonesOut.includes(zone),
          );
          const slots = serving.reduce((sum, target) => sum + target.slots, 0);
          return { zone, workers: serving.length, slots };
        }),
      };
    });
  }

  /** How busy this router sees the services; those without calls are left out. */
  load(): Omit<LoadUpdate, 'router'> {
    const { inFlight, waiting } = this.parts;
    const services = this.ranges().map(({ service }) => service);
    const zones = services.flatMap((service) => {
      const calls = new Map<string, number>();
      this.findTargets(service).forEach(({ id, availabilityZone: zone }) => {
        calls.set(zone, (calls.get(zone) ?? 0) + inFlight.count(id));
      });
      return [...calls].map(([zone, count]) => ({ service, zone, inFlight: count }));
    });
    return {
      zones: zones.filter((zone) => zone.inFlight > 0),
      waiting: services
        .map((service) => [service, waiting.count(service)] as const)
        .filter(([, calls]) => calls > 0),
    };
  }

  private findTargets(service: string): readonly RegisteredTarget[] {
    return this.parts.targets.findRegistered(service);
  }

  private ranges(): readonly { readonly service: string; readonly range: ScalingRange }[] {
    const services = this.parts.routes.currentConfiguration()?.services ?? [];
    return services.flatMap(({ name: service, scaling: range, batch }) =>
      range && !batch ? [{ service, range }] : [],
    );
  }
}
