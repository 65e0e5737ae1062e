import type { PriorityWait, RouteConfig } from '@galenatiller/types';

import { orderStages } from '../stageGraph.js';

/** Waits for the workers of each shard of a service, by priority. */
export type FindWaits = (service: string) => readonly (readonly PriorityWait[])[];

/** Options of {@link estimateCall}. */
export interface EstimateCallOptions {
  readonly route: RouteConfig;
  readonly priority: number;
  /** Time of each stage without any wait; 0 when it is skipped or done. */
  readonly stagesMs: readonly number[];
  /** Time from the send of the call to the start of its response that few responses exceed. */
  readonly responseMs: number;
  /** The same for few responses that are faster. */
  readonly fastResponseMs: number;
  readonly findWaits: FindWaits;
}

/** Time from now until the start of the response to a new call. */
export interface CallEstimate {
  readonly neededMs: number;
  /** The same without any wait, and with a fast response. */
  readonly unloadedMs: number;
  /** For how long the oldest work waits that goes first at one of the services. */
  readonly oldestMs: number;
}

/** Estimates when the response to a call starts, from the waits for the stage workers that it needs. */
export function estimateCall(opts: EstimateCallOptions): CallEstimate {
  return {
    neededMs: sumPath(opts, (service) => findWait(opts, service).waitMs) + opts.responseMs,
    unloadedMs: sumPath(opts, () => 0) + opts.fastResponseMs,
    oldestMs: Math.max(
      0,
      ...opts.route.stages.map(({ service }) => findWait(opts, service).oldestMs),
    ),
  };
}

/** The longest path through the stages. */
function sumPath(
  { route, stagesMs }: EstimateCallOptions,
  getWaitMs: (service: string) => number,
): number {
  const endsInMs = route.stages.map(() => 0);
  orderStages(route.stages).forEach(({ position, stage: { service, dependsOn } }) => {
    const startsInMs = Math.max(0, ...dependsOn.map((dependency) => endsInMs[dependency] ?? 0));
    const ownMs = stagesMs[position] ?? 0;
    endsInMs[position] = startsInMs + (ownMs > 0 ? getWaitMs(service) + ownMs : 0);
  });
  return Math.max(0, ...endsInMs);
}

/** Pieces go to the shard that is the least busy; more urgent ones that wait go first. */
function findWait({ priority, findWaits }: EstimateCallOptions, service: string): PriorityWait {
  const shards = findWaits(service).map((waits) =>
    waits
      .filter((wait) => wait.priority <= priority)
      .reduce((longest, wait) => (wait.waitMs > longest.waitMs ? wait : longest), {
        priority,
        waitMs: 0,
        oldestMs: 0,
      }),
  );
  const [first = { priority, waitMs: 0, oldestMs: 0 }] = shards;
  return shards.reduce((least, wait) => (wait.waitMs < least.waitMs ? wait : least), first);
}
