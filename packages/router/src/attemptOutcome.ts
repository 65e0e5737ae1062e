import { getStartKey } from '@galenatiller/target';
import type { RegisteredTarget, RouteConfig } from '@galenatiller/types';

import type { CallProgress } from './callProgress.js';
import { endAborted, endByStop, type Refused } from './endAttempts.js';
import type { RunAttemptsOptions } from './runAttemptsOptions.js';

/** Ends a call whose signal has aborted. */
export function endBySignal(opts: RunAttemptsOptions, progress: CallProgress): Refused {
  const end = opts.tracked.signal.aborted ? endByStop : endAborted;
  return end(progress);
}

/** Records that a target crashed while it ran a call, if its process is gone. */
export async function recordIfCrashed(
  opts: RunAttemptsOptions,
  target: RegisteredTarget,
): Promise<void> {
  const { crashDetector, crashSuspects } = opts.context;
  if (await crashDetector.hasCrashed(target)) {
    const { fingerprints } = opts;
    crashSuspects.recordCrash({ targetStart: getStartKey(target), fingerprints });
  }
}

/** Whether a route allows its calls to run more than once. */
export function allowsRepeatedRuns({
  callKind,
  isResumable,
}: Pick<RouteConfig, 'callKind' | 'isResumable'>): boolean {
  return callKind === 'idempotent' || (callKind === 'stream' && isResumable);
}

/** Whether a call that may have run already may be sent to another target. */
export function canRunAgain(opts: RunAttemptsOptions, progress: CallProgress): boolean {
  const { route } = opts.admitted;
  return allowsRepeatedRuns(route) && progress.runs < route.maxAttempts;
}
