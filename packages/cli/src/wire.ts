/** JSON output of the command line. */
import type { GalenatillerError } from '@galenatiller/error';

import type { CommandFailure } from './commandFailure.js';
import type { CommandReport } from './commandReport.js';

/** Encodes a report on one line. */
export function encodeReport(report: CommandReport): string {
  return JSON.stringify({ ...report, unknown: report.unknown.map(errorFields) });
}

/** Encodes a failure on one line. */
export function encodeFailure(failure: CommandFailure): string {
  return JSON.stringify({ error: errorFields(failure.error), details: failure.details });
}

function errorFields(error: GalenatillerError) {
  const { code, codeName, outcome, detail, hint } = error;
  return { code, name: codeName, outcome, detail, hint };
}
