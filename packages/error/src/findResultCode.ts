import type { ResultCodeDefinition } from './resultCodeDefinition.js';
import { RESULT_CODES, type ResultCodeName } from './resultCodes.js';

const BY_NAME: ReadonlyMap<string, ResultCodeDefinition> = new Map(
  RESULT_CODES.map((definition) => [definition.name, definition]),
);
const BY_CODE: ReadonlyMap<number, ResultCodeDefinition> = new Map(
  RESULT_CODES.map((definition) => [definition.code, definition]),
);

/** Finds a result code by its name. */
export function findResultCode(name: ResultCodeName): ResultCodeDefinition {
  return BY_NAME.get(name) as ResultCodeDefinition;
}

/** Finds a result code by its number; an unknown number gives `internal`. */
export function findResultCodeByNumber(code: number): ResultCodeDefinition {
  return BY_CODE.get(code) ?? findResultCode('internal');
}
