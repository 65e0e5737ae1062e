import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

/** Reason why a command failed. */
export interface CommandFailure {
  readonly error: GalenatillerError;
  /** Further lines: problems in a file, changes by another author, or nodes. */
  readonly details: readonly string[];
}

/** Creates the error result of a failed command. */
export function fail(
  error: GalenatillerError,
  details: readonly string[] = [],
): Result<never, CommandFailure> {
  return Result.err({ error, details });
}

/** Creates the error result of a store failure, with a line that names the missing information. */
export function failOnStoreError(
  error: GalenatillerError,
  missingInformation: string,
): Result<never, CommandFailure> {
  return fail(error, [`Not known: ${missingInformation}.`]);
}
