/** Statuses of targets that callers must not get, since they promise more than is known. */
import { promisesNotRun } from '@galenatiller/error';

import type { AdmittedCall } from './admitCall.js';
import { allowsRepeatedRuns } from './attemptOutcome.js';
import type { CallProgress } from './callProgress.js';
import { endWithError, type Refused } from './endAttempts.js';
import type { SendResponse } from './ports.js';
import type { RouterContext } from './routerContext.js';

/**
 * Whether the status of a response would tell the caller that its call has not run, though it may have. A target
 * that has not run a call states so, and its response is a refusal. A caller of a call that may run again loses
 * nothing by such a status, and gets it unchanged.
 */
export function mustReplaceStatus(
  { admitted }: { readonly admitted: Pick<AdmittedCall, 'route'> },
  { status }: Pick<SendResponse, 'status'>,
): boolean {
  return promisesNotRun(status) && !allowsRepeatedRuns(admitted.route);
}

/**
 * Ends a call with an error in place of its target's response. Nothing of the response is passed on: its headers
 * and its body may repeat what the status says.
 */
export function endWithReplacedStatus(
  { context }: { readonly context: Pick<RouterContext, 'metrics'> },
  progress: CallProgress,
  { status, discard }: Pick<SendResponse, 'status' | 'discard'>,
): Refused {
  discard();
  context.metrics.count({ name: 'router.statuses_replaced', tags: { targetStatus: status } });
  const detail = `the target responded with status ${status}, and did not state that it has not run the call`;
  return endWithError(progress, 'target-failed', detail);
}
