import type { GalenatillerError } from '@galenatiller/error';
import type { RuleFinding } from '@galenatiller/operator';

import type { CommandReport } from './commandReport.js';

/** Exit code of a command that succeeded and obtained all information. */
export const EXIT_OK = 0;

/** Exit code for an invalid command line. */
export const EXIT_USAGE = 1;

/** Exit code for a rules file with problems, the same as for `rules-invalid`. */
const EXIT_RULES_INVALID = 5;

const CODES_PER_GROUP = 1_000;

/** Returns the exit code for an error: the thousands digit of its result code. */
export function getExitCode(error: GalenatillerError): number {
  return Math.floor(error.code / CODES_PER_GROUP);
}

/** Returns the exit code for a report: that of a problem in a checked file, else of the first unknown. */
export function getReportExitCode(report: CommandReport): number {
  if (report.command === 'check' && report.findings.some(isProblem)) {
    return EXIT_RULES_INVALID;
  }
  const [error] = report.unknown;
  return error ? getExitCode(error) : EXIT_OK;
}

function isProblem({ severity }: RuleFinding): boolean {
  return severity === 'problem';
}
