import type { GalenatillerError } from '@galenatiller/error';
import type { StageEnd } from '@galenatiller/types';

/** The end of an attempt that failed before its gate could say so. */
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
