/** Observes the runs of a call for the rollout of its service. */
import { computeStartAllowanceMs } from '@galenatiller/target';
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
    startAllowanceMs: findStartAllowanceMs(opts),
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

/** Calls without prompt parts have no allowance, as nothing of them can be cached. */
function findStartAllowanceMs({ exchange, admitted }: ObserveRunOptions): number {
  return exchange.call.promptParts.length === 0
    ? 0
    : computeStartAllowanceMs(admitted.route.latencyObjectiveMs);
}
