import type { GalenatillerError } from '@galenatiller/error';

/** Exit code of a command that did its work and knows everything. */
export const EXIT_OK = 0;

/** Exit code of a command line that is wrong. */
export const EXIT_USAGE = 1;

const CODES_PER_GROUP = 1_000;

/** The thousands digit of the result code. */
export function getExitCode(error: GalenatillerError): number {
  return Math.floor(error.code / CODES_PER_GROUP);
}
