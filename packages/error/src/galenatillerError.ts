import type { Outcome } from '@galenatiller/types';

import { findResultCode } from './findResultCode.js';
import type { ResultCodeName } from './resultCodes.js';

/** Options of {@link GalenatillerError.create}. */
export interface GalenatillerErrorOptions {
  readonly name: ResultCodeName;
  /** What happened in this case; must not contain a key or secret. */
  readonly detail: string;
  /** Overrides the outcome of the result code when more or less is known in this case. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
}

/** An error with a numbered result code, used as the error type of results. */
export class GalenatillerError extends Error {
  private constructor(
    /** Number of the result code. */
    readonly code: number,
    /** Name of the result code. */
    readonly codeName: ResultCodeName,
    /** What happened in this case. */
    readonly detail: string,
    /** Whether the request ran, as far as is known. */
    readonly outcome: Outcome,
    /** Minimum time before a retry, in milliseconds; 0 when unknown. */
    readonly retryAfterMs: number,
    /** What the user can do. */
    readonly hint: string,
  ) {
    super(`${code} ${codeName}: ${detail}`);
  }

  /** Creates an error from a result code and the detail of the case. */
  static create(opts: GalenatillerErrorOptions): GalenatillerError {
    const definition = findResultCode(opts.name);
    return new GalenatillerError(
      definition.code,
      opts.name,
      opts.detail,
      opts.outcome ?? definition.outcome,
      opts.retryAfterMs ?? 0,
      definition.hint,
    );
  }
}
