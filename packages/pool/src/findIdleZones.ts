import { type FindWorkerLoad, isStatedSlow } from './workerLoad.js';

/** A worker that waits for pieces. */
export interface IdleWorker {
  readonly target: { readonly availabilityZone: string };
  /** Memory for results that the worker has left now. */
  readonly availableBytes: () => number;
  /** Time that a piece has to have waited before this worker takes it; 0 for a normal worker. */
  readonly minWaitMs: number;
  readonly uneven?: { readonly findLoad: FindWorkerLoad } | undefined;
}

/** Most memory for results that an idle worker of normal speed has left, by zone. */
export function findIdleZones(workers: Iterable<IdleWorker>): ReadonlyMap<string, number> {
  const bytesByZone = new Map<string, number>();
  [...workers]
    .filter(({ minWaitMs, uneven }) => minWaitMs === 0 && !isStatedSlow(uneven?.findLoad()))
    .forEach(({ target, availableBytes }) => {
      const zone = target.availabilityZone;
      bytesByZone.set(zone, Math.max(bytesByZone.get(zone) ?? 0, availableBytes()));
    });
  return bytesByZone;
}
