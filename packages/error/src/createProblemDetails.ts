import type { Outcome } from '@galenatiller/types';

import { findResultCode } from './findResultCode.js';
import type { GalenatillerError } from './galenatillerError.js';

/** The members of a problem document (RFC 9457) that every refusal has. */
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

/** Describes an error as a problem document; wire modules encode it. */
export function createProblemDetails(error: GalenatillerError): ProblemDetails {
  const row = findResultCode(error.codeName);
  return {
    type: `urn:galenatiller:result:${error.code}`,
    title: row.meaning,
    status: row.httpStatus,
    detail: error.detail,
    code: error.code,
    name: error.codeName,
    outcome: error.outcome,
    hint: error.hint,
  };
}
