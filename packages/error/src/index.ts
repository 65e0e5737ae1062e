/** Numbered result codes and the error type that carries one. */
export { findResultCode, findResultCodeByNumber } from './findResultCode.js';
export { GalenatillerError, type GalenatillerErrorOptions } from './galenatillerError.js';
export type { ResultCodeDefinition } from './resultCodeDefinition.js';
export { RESULT_CODES, type ResultCodeName } from './resultCodes.js';
export { findNearestName, type FindNearestNameOptions } from './findNearestName.js';
export { promisesNotRun } from './promisesNotRun.js';
export { type ProblemDetails, createProblemDetails } from './createProblemDetails.js';
