import type { Outcome } from '@galenatiller/types';

import { findResultCode } from './findResultCode.js';
import type { ResultCodeName } from './resultCodes.js';

/** Options of {@link GalenatillerError.create}. */
export interface GalenatillerErrorOptions {
  readonly name: ResultCodeName;
  /** What happened, for this case; never a key or secret. */
  readonly detail: string;
  /** Overrides the outcome of the table when this case proves more or less. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
}

/** An error with a numbered result code, used as the error side of results. */
export class GalenatillerError extends Error {
  private constructor(
    /** Number of the result code. */
    readonly code: number,
    /** Name of the result code. */
    readonly codeName: ResultCodeName,
    /** The case at hand. */
    readonly detail: string,
    /** What is proved about execution. */
    readonly outcome: Outcome,
    /** Earliest time for another try, in milliseconds; 0 when unknown. */
    readonly retryAfterMs: number,
    /** What the user can do. */
    readonly hint: string,
  ) {
    super(`${code} ${codeName}: ${detail}`);
  }

  /** Makes an error from a result code and the detail of the case. */
  static create(opts: GalenatillerErrorOptions): GalenatillerError {
    const row = findResultCode(opts.name);
    return new GalenatillerError(
      row.code,
      opts.name,
      opts.detail,
      opts.outcome ?? row.outcome,
      opts.retryAfterMs ?? 0,
      row.hint,
    );
  }
}
