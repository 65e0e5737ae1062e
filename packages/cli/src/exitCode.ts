import type { GalenatillerError } from '@galenatiller/error';

/** Exit code of a command that succeeded and obtained all information. */
export const EXIT_OK = 0;

/** Exit code for an invalid command line. */
export const EXIT_USAGE = 1;

const CODES_PER_GROUP = 1_000;

/** Returns the exit code for an error: the thousands digit of its result code. */
export function getExitCode(error: GalenatillerError): number {
  return Math.floor(error.code / CODES_PER_GROUP);
}
