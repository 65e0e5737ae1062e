import type { RegisteredTarget } from '@galenatiller/types';

const ZONE_PORTS: Readonly<Record<string, number>> = { east: 1, west: 2 };

/** Creates a stage worker in a zone, as it is registered in the store. */
export function createWorker(zone: string): RegisteredTarget {
  return {
    id: `worker-${zone}`,
    startedWallMs: 1,
    service: 'stage',
    address: `10.0.0.1:${ZONE_PORTS[zone]}`,
    availabilityZone: zone,
    version: 'v1',
    slots: 1,
    state: 'ready',
  };
}
