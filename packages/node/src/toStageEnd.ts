import type { GalenatillerError } from '@galenatiller/error';
import type { StageEnd } from '@galenatiller/types';

/** Creates the end of an attempt that failed with an error: no result, and all times are 0. */
export function toStageEnd(error: GalenatillerError): StageEnd {
  return {
    outcome: error.outcome,
    code: error.code,
    detail: error.detail,
    retryAfterMs: error.retryAfterMs,
    queueMs: 0,
    runMs: 0,
  };
}
