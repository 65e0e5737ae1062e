/** How the attempts of a call end: with a response, an error or an aborted response. */
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';

import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';

/** A target has responded completely. */
export interface Answered {
  readonly kind: 'answered';
  readonly status: number;
  readonly target: string;
}

/** The call ended with an error of the router. */
export interface Refused {
  readonly kind: 'refused';
  readonly error: GalenatillerError;
}

/** How the attempts ended. `inputs-gone`: the last one did not run, and needs its stages again. */
export type AttemptsResult = Answered | Refused | { readonly kind: 'inputs-gone' };

/** How a call ended. `cut`: its response had started and was aborted. */
export type CallEnding = Answered | Refused | { readonly kind: 'cut'; readonly detail: string };

/** Time to retry after a refusal; a target that crashed is registered again after a few seconds. */
const RETRY_AFTER_MS = 400;

/** Aborts a response that has started and that no target completed: it can't become a refusal. */
export function settleEnding(opts: {
  readonly exchange: Pick<CallerExchange, 'abort'>;
  readonly progress: CallProgress;
  readonly end: Answered | Refused;
}): CallEnding {
  const { exchange, progress, end } = opts;
  if (!progress.hasStarted || end.kind !== 'refused') {
    return end;
  }
  exchange.abort();
  return { kind: 'cut', detail: `${end.error.codeName}: ${end.error.detail}` };
}

/** Creates the error of a call that is not sent, because calls with a fingerprint crash targets. */
export function createStoppedError(fingerprint: string): GalenatillerError {
  return GalenatillerError.create({ name: 'fingerprint-stopped', detail: fingerprint });
}

/** Ends a call with a fingerprint that was stopped, perhaps after an attempt. */
export function endStopped(progress: CallProgress, fingerprint: string): Refused {
  return progress.runs > 0
    ? endWithError(progress, 'target-failed', progress.lastFailure)
    : { kind: 'refused', error: createStoppedError(fingerprint) };
}

/** Ends a call whose caller disconnected before any target can have run it. */
export function endDisconnected(): Refused {
  const detail = 'the caller disconnected before the call was sent';
  const error = GalenatillerError.create({ name: 'cancelled', detail, outcome: 'not-run' });
  return { kind: 'refused', error };
}

/** Time to retry when the router stops: the caller's next connection goes to another one. */
const STOPPING_RETRY_AFTER_MS = 20;

/** Creates the error of a call that has not run, because the router stops. */
export function createStoppingError(): GalenatillerError {
  return GalenatillerError.create({
    name: 'stopping',
    detail: 'the router stops before the call could end',
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  });
}

/** Ends a call that can't end before the router does. */
export function endByStop(progress: CallProgress): Refused {
  return progress.runs > 0
    ? endWithError(progress, 'target-failed', 'the router stopped before the response was complete')
    : { kind: 'refused', error: createStoppingError() };
}

/** Ends a call whose deadline has passed or whose caller has disconnected. */
export function endAborted(progress: CallProgress): Refused {
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
): Refused {
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
