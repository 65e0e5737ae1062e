import type { PriorityWait, RouteConfig } from '@galenatiller/types';

import type { CallEstimate } from './estimateCall.js';

/** Whether a stage whose dependencies are done starts now. `hold`: it is decided on again a little later. */
export type StageStartDecision = 'start' | 'hold' | 'give-up';

/** Options of {@link decideStart}. */
export interface DecideStartOptions {
  /** Of what is left of the call. */
  readonly estimate: CallEstimate;
  /** Time until the caller no longer waits for the start of a response. */
  readonly leftMs: number;
  /** Whether the stage has no inputs that expire while it is held. */
  readonly hasNoInputs: boolean;
  /** Whether the call can no longer meet its latency objective. */
  readonly isLate: boolean;
  /** For how long the oldest work waits that goes first at the services of the other stages that are left. */
  readonly othersOldestMs: number;
  /** How long the results of the stage are kept. */
  readonly resultTtlMs: number;
}

/** Share of the time for which results are kept that they may wait for the other stages. */
const MAX_RESULT_WAIT_SHARE = 0.5;

/**
 * Decides whether a stage starts. A call is given up only if its response can't start in time even without
 * any wait. A late call is held while its results would wait for so long that they would expire; the others
 * start, since some of them are on time although the work of others waits. A call that became hopeless after its
 * arrival starts too: if it was held, its caller would wait for most of its time before it is refused.
 */
export function decideStart(opts: DecideStartOptions): StageStartDecision {
  const { estimate, leftMs } = opts;
  if (estimate.unloadedMs > leftMs) {
    return 'give-up';
  }
  // Results that outlive the call can't expire before their use.
  const expires =
    leftMs > opts.resultTtlMs && opts.othersOldestMs > MAX_RESULT_WAIT_SHARE * opts.resultTtlMs;
  return expires && opts.isLate && opts.hasNoInputs ? 'hold' : 'start';
}

/** Options of {@link findOthersOldestMs}. */
export interface FindOthersOldestOptions {
  readonly route: RouteConfig;
  readonly position: number;
  readonly priority: number;
  readonly isDone: (position: number) => boolean;
  /** Waits for the workers of each shard of a service, by priority. */
  readonly findWaits: (service: string) => readonly (readonly PriorityWait[])[];
}

/** For how long the oldest work waits that goes first at the services of the other stages that are left. */
export function findOthersOldestMs(opts: FindOthersOldestOptions): number {
  const { route, position, priority, isDone, findWaits } = opts;
  const own = route.stages[position]?.service;
  const services = new Set(
    route.stages
      .filter(({ service }, other) => service !== own && !isDone(other))
      .map(({ service }) => service),
  );
  const oldest = [...services].map((service) =>
    Math.min(
      ...findWaits(service).map((waits) =>
        Math.max(
          0,
          ...waits.filter((wait) => wait.priority <= priority).map(({ oldestMs }) => oldestMs),
        ),
      ),
    ),
  );
  return Math.max(0, ...oldest.filter((oldestMs) => oldestMs < Infinity));
}
