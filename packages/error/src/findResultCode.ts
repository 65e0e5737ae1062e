import type { ResultCodeDefinition } from './resultCodeDefinition.js';
import { RESULT_CODES, type ResultCodeName } from './resultCodes.js';

const BY_NAME: ReadonlyMap<string, ResultCodeDefinition> = new Map(
  RESULT_CODES.map((row) => [row.name, row]),
);
const BY_CODE: ReadonlyMap<number, ResultCodeDefinition> = new Map(
  RESULT_CODES.map((row) => [row.code, row]),
);

/** The row of a named result code. */
export function findResultCode(name: ResultCodeName): ResultCodeDefinition {
  return BY_NAME.get(name) as ResultCodeDefinition;
}

/** The row of a numbered result code; numbers that are not in the table read as `internal`. */
export function findResultCodeByNumber(code: number): ResultCodeDefinition {
  return BY_CODE.get(code) ?? findResultCode('internal');
}
