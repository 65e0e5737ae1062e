import { toTargetStart } from '@galenatiller/target';

import type { AdmittedCall } from './admitCall.js';
import type { RouterContext } from './routerContext.js';

/** Options of {@link findPauseWait}. */
export interface FindPauseWaitOptions {
  readonly context: Pick<
    RouterContext,
    'timer' | 'targets' | 'rollouts' | 'notices' | 'responseTimes'
  >;
  readonly admitted: Pick<AdmittedCall, 'service' | 'deadlineAtMs' | 'firstByteDeadlineAtMs'>;
}

/** How long a call has to wait for targets that asked for a pause. */
export interface PauseWait {
  /** Time until the first pause ends; 0 when a target takes calls again, but only some at first. */
  readonly returnMs: number;
  /** Whether a response after that can't be in time. */
  readonly isTooLong: boolean;
}

/** The wait of a call that no target may be sent now; undefined when no target is going to return. */
export function findPauseWait(opts: FindPauseWaitOptions): PauseWait | undefined {
  const { timer, responseTimes } = opts.context;
  const { service, deadlineAtMs, firstByteDeadlineAtMs } = opts.admitted;
  const returnMs = findReturnMs(opts.context, service);
  if (returnMs === undefined) {
    return undefined;
  }
  const nowMs = timer.nowMs();
  const leftMs = Math.min(deadlineAtMs, firstByteDeadlineAtMs) - nowMs;
  const responseMs = responseTimes.estimateMs({ name: service, nowMs });
  return { returnMs, isTooLong: returnMs > 0 && returnMs + responseMs > leftMs };
}

/**
 * Time until the first target of a service ends its pause: 0 when one is not paused, undefined when
 * none is going to take work.
 */
export function findReturnMs(
  context: Pick<RouterContext, 'targets' | 'rollouts' | 'notices'>,
  service: string,
): number | undefined {
  const { targets, rollouts, notices } = context;
  const candidates = rollouts.select(service, targets.findUsable(service));
  return notices.firstReturnMs(candidates.map(toTargetStart));
}
