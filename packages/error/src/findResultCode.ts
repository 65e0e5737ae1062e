import type { ResultCodeRow } from './resultCodeRow.js';
import { RESULT_CODES, type ResultCodeName } from './resultCodes.js';

const BY_NAME: ReadonlyMap<string, ResultCodeRow> = new Map(
  RESULT_CODES.map((row) => [row.name, row]),
);
const BY_CODE: ReadonlyMap<number, ResultCodeRow> = new Map(
  RESULT_CODES.map((row) => [row.code, row]),
);

/** The row of a named result code. */
export function findResultCode(name: ResultCodeName): ResultCodeRow {
  return BY_NAME.get(name) as ResultCodeRow;
}

/** The row of a numbered result code; numbers that are not in the table read as `internal`. */
export function findResultCodeByNumber(code: number): ResultCodeRow {
  return BY_CODE.get(code) ?? findResultCode('internal');
}
