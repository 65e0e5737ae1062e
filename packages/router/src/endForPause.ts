import { endWithError, type Refused } from './endAttempts.js';
import type { CallProgress } from './callProgress.js';
import { findPauseWait, type FindPauseWaitOptions } from './findPauseWait.js';
import type { RouterContext } from './routerContext.js';

/**
 * Ends a call when each target of its service asked for a pause that the call can't wait for;
 * undefined when it may go on.
 */
export function endForPause(
  opts: FindPauseWaitOptions & { readonly context: Pick<RouterContext, 'metrics'> },
  progress: CallProgress,
): Refused | undefined {
  const wait = findPauseWait(opts);
  if (!wait?.isTooLong) {
    return undefined;
  }
  opts.context.metrics.count({ name: 'router.paused_refusals', tags: {} });
  const { service } = opts.admitted;
  const returnMs = Math.ceil(wait.returnMs);
  const detail = `each target of ${service} asked for a pause; the first one ends in ${returnMs} ms`;
  return endWithError(progress, 'targets-paused', detail, returnMs);
}
