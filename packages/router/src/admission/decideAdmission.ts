import { computeRetryAfterMs } from '@galenatiller/scheduling';
import type { AdmissionRefusal } from '@galenatiller/types';

import type { CallEstimate } from './estimateCall.js';

/** Options of {@link decideAdmission}. */
export interface DecideAdmissionOptions {
  readonly estimate: CallEstimate;
  /** Time until the caller no longer waits for the start of a response. */
  readonly leftMs: number;
  readonly priority: number;
  /** Priorities of calls with stages. */
  readonly stagedPriorities: readonly number[];
  /** Mean lag of the event loop. */
  readonly loopLagMs: number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Whether a call with stages may begin. */
export type CallAdmissionDecision =
  | { readonly kind: 'admit' }
  | {
      readonly kind: 'refuse';
      readonly reason: AdmissionRefusal;
      /** 0 when a later retry would not help. */
      readonly retryAfterMs: number;
    };

/** Mean lag from which on calls of the least urgent priority are refused; callers notice twice that. */
export const LEAST_URGENT_LAG_MS = 50;

/** Mean lag from which on all calls with stages are refused. */
export const MAX_LAG_MS = 100;

/**
 * A long wait is believed once work has waited for this share of the time that a caller has left. Bursts
 * of a few seconds end before that, and the calls that come in them are still served.
 */
const MIN_AGE_SHARE = 0.5;

/** Time in which a router whose event loop lags has caught up, if no new work comes. */
const LAG_RETRY_AFTER_MS = 500;

/**
 * Decides whether a call may begin. It is refused if its response can't start while the caller waits:
 * a refusal may cost a caller its request, so that a call that would only be late is admitted. Under
 * overload this comes to the least urgent calls first, since more urgent ones take all workers.
 */
export function decideAdmission(opts: DecideAdmissionOptions): CallAdmissionDecision {
  const { estimate, leftMs, random } = opts;
  const refuse = (reason: AdmissionRefusal, neededMs: number): CallAdmissionDecision => ({
    kind: 'refuse',
    reason,
    retryAfterMs: computeRetryAfterMs({ neededMs, leftMs, random }),
  });
  if (estimate.unloadedMs > leftMs) {
    return { kind: 'refuse', reason: 'past-deadline', retryAfterMs: 0 };
  }
  if (opts.loopLagMs >= findLagLimitMs(opts)) {
    return refuse('event-loop', LAG_RETRY_AFTER_MS);
  }
  if (estimate.neededMs > leftMs && estimate.oldestMs > MIN_AGE_SHARE * leftMs) {
    return refuse('hopeless', estimate.neededMs - leftMs);
  }
  return { kind: 'admit' };
}

/** The more urgent a priority, the higher the lag at which its calls are refused. */
function findLagLimitMs({ priority, stagedPriorities }: DecideAdmissionOptions): number {
  const others = new Set(stagedPriorities.filter((other) => other !== priority));
  const lessUrgent = [...others].filter((other) => other > priority).length;
  const share = others.size === 0 ? 0 : lessUrgent / others.size;
  return LEAST_URGENT_LAG_MS + share * (MAX_LAG_MS - LEAST_URGENT_LAG_MS);
}
