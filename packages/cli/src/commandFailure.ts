import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

/** Why a command did not do its work. */
export interface CommandFailure {
  readonly error: GalenatillerError;
  /** Lines that say more: problems of a file, edits of another author, nodes. */
  readonly details: readonly string[];
}

/** The failure of a command as a result. */
export function fail(
  error: GalenatillerError,
  details: readonly string[] = [],
): Result<never, CommandFailure> {
  return Result.err({ error, details });
}

/** A failure of the store, with what stays unknown because of it. */
export function failOnStoreError(
  error: GalenatillerError,
  notKnown: string,
): Result<never, CommandFailure> {
  return fail(error, [`Not known: ${notKnown}.`]);
}
