/** JSON output of the command line interface. */
import type { GalenatillerError } from '@galenatiller/error';

import type { CommandFailure } from './commandFailure.js';
import type { CommandReport } from './commandReport.js';

/** Encodes a report as JSON on one line. */
export function encodeReport(report: CommandReport): string {
  return JSON.stringify({ ...report, unknown: report.unknown.map(toErrorFields) });
}

/** Encodes a failure as JSON on one line. */
export function encodeFailure(failure: CommandFailure): string {
  return JSON.stringify({ error: toErrorFields(failure.error), details: failure.details });
}

function toErrorFields(error: GalenatillerError) {
  const { code, codeName, outcome, detail, hint } = error;
  return { code, name: codeName, outcome, detail, hint };
}
