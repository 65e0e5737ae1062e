import type { Outcome } from '@galenatiller/types';

import { findResultCode } from './findResultCode.js';
import type { GalenatillerError } from './galenatillerError.js';
import { promisesNotRun } from './promisesNotRun.js';

/** Members of the problem details document (RFC 9457) for any error. */
export interface ProblemDetails {
  readonly type: string;
  readonly title: string;
  /** HTTP status. */
  readonly status: number;
  readonly detail: string;
  readonly code: number;
  readonly name: string;
  readonly outcome: Outcome;
  readonly hint: string;
}

const STATUS_BAD_GATEWAY = 502;

/** Converts an error to a problem details document; the wire modules encode it. */
export function createProblemDetails(error: GalenatillerError): ProblemDetails {
  const definition = findResultCode(error.codeName);
  return {
    type: `urn:galenatiller:result:${error.code}`,
    title: definition.meaning,
    status: findStatus(error, definition.httpStatus),
    detail: error.detail,
    code: error.code,
    name: error.codeName,
    outcome: error.outcome,
    hint: error.hint,
  };
}

/** The status of the result code, unless it promises more than what is known in this case. */
function findStatus({ outcome }: GalenatillerError, usualStatus: number): number {
  const isFalse = promisesNotRun(usualStatus) && outcome !== 'not-run';
  return isFalse ? STATUS_BAD_GATEWAY : usualStatus;
}
