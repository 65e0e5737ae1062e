/** Numbered result codes and the typed error that carries one. */
export { findResultCode, findResultCodeByNumber } from './findResultCode.js';
export { GalenatillerError, type GalenatillerErrorOptions } from './galenatillerError.js';
export type { ResultCodeRow } from './resultCodeRow.js';
export { RESULT_CODES, type ResultCodeName } from './resultCodes.js';
export { nearestName, type NearestNameOptions } from './nearestName.js';
export { type Problem, problemOf } from './problemOf.js';
