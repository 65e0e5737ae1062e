/** How the attempts of a call end: with a response, an error or an aborted response. */
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';

import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';

/**
 * How the attempts of a call ended. `cut`: the response had started and was aborted. `inputs-gone`:
 * not run, and the stages have to be run again.
 */
export type AttemptsResult =
  | { readonly kind: 'answered'; readonly status: number; readonly target: string }
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'refused'; readonly error: GalenatillerError }
  | { readonly kind: 'inputs-gone' };

/** Time to retry after a refusal; a target that crashed is registered again after a few seconds. */
const RETRY_AFTER_MS = 400;

/** Creates the error of a call that is not sent, because calls with a fingerprint crash targets. */
export function createStoppedError(fingerprint: string): GalenatillerError {
  return GalenatillerError.create({ name: 'fingerprint-stopped', detail: fingerprint });
}

/** Ends a call with a fingerprint that was stopped, perhaps after an attempt. */
export function endStopped(progress: CallProgress, fingerprint: string): AttemptsResult {
  return progress.runs > 0
    ? endWithError(progress, 'target-failed', progress.lastFailure)
    : { kind: 'refused', error: createStoppedError(fingerprint) };
}

/** Ends a call whose caller disconnected before any target can have run it. */
export function endDisconnected(): AttemptsResult {
  const detail = 'the caller disconnected before the call was sent';
  const error = GalenatillerError.create({ name: 'cancelled', detail, outcome: 'not-run' });
  return { kind: 'refused', error };
}

/** Ends a call whose deadline has passed or whose caller has disconnected. */
export function endAborted(
  exchange: Pick<CallerExchange, 'abort'>,
  progress: CallProgress,
): AttemptsResult {
  if (progress.hasStarted) {
    exchange.abort();
    return {
      kind: 'cut',
      detail: 'the deadline passed or the caller disconnected in the middle of the stream',
    };
  }
  return endWithError(
    progress,
    'deadline-exceeded',
    progress.lastFailure || 'no target was available in time',
  );
}

/** Ends a call with an error; its outcome is `not-run` only if no send can have run. */
export function endWithError(
  progress: CallProgress,
  name: ResultCodeName,
  detail: string,
  retryAfterMs: number = RETRY_AFTER_MS,
): AttemptsResult {
  if (progress.runs > 0) {
    const codeName = name === 'deadline-exceeded' ? name : 'target-failed';
    const error = GalenatillerError.create({ name: codeName, detail, outcome: 'may-have-run' });
    return { kind: 'refused', error };
  }
  const codeName =
    name === 'target-failed' || name === 'deadline-exceeded' ? 'deadline-unreachable' : name;
  return {
    kind: 'refused',
    error: GalenatillerError.create({
      name: codeName,
      detail,
      outcome: 'not-run',
      retryAfterMs,
    }),
  };
}
