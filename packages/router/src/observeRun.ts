/** Observes the runs of a call for the rollout of its service. */
import type { RegisteredTarget } from '@galenatiller/types';

import type { AdmittedCall } from './admitCall.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import { RunObservation } from './runObservation.js';

/** The call whose run is observed. */
export interface ObserveRunOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call' | 'disconnected'>;
  readonly admitted: AdmittedCall;
  readonly tracked: Pick<TrackedCall, 'signal'>;
  /** Aborts when the run must end. */
  readonly signal: AbortSignal;
}

/** A prompt that a target has not cached delays its first event by this at most, and this share of the objective. */
const MAX_START_ALLOWANCE_MS = 300;
const START_ALLOWANCE_SHARE = 0.25;

/** Creates the observation of a run on a target that is about to be sent. */
export function createObservation(
  opts: ObserveRunOptions,
  target: RegisteredTarget,
): RunObservation {
  const { name: route, callKind } = opts.admitted.route;
  const { timer, rollouts } = opts.context;
  return RunObservation.create({
    timer,
    rollouts,
    target,
    route,
    isStream: callKind === 'stream',
    startAllowanceMs: computeStartAllowanceMs(opts),
  });
}

/** Observes a run without a whole response, unless the stop of this router has ended it. */
export function observeBroken(opts: ObserveRunOptions, observation: RunObservation): void {
  if (opts.tracked.signal.aborted) {
    return;
  }
  const isDeadlineOver = opts.signal.aborted && !observation.hasStarted;
  if (isDeadlineOver || opts.exchange.disconnected.aborted) {
    observation.abandon();
  } else {
    observation.end({ isFailed: true });
  }
}

/** Time by which the first event may come later on a target of a version that has nothing cached. */
function computeStartAllowanceMs({ exchange, admitted }: ObserveRunOptions): number {
  const { latencyObjectiveMs } = admitted.route;
  return exchange.call.promptParts.length === 0
    ? 0
    : Math.min(MAX_START_ALLOWANCE_MS, latencyObjectiveMs * START_ALLOWANCE_SHARE);
}
