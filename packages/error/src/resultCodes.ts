import { REQUEST_CODES } from './requestCodes.js';
import { SYSTEM_CODES } from './systemCodes.js';

/** Every result code, grouped by thousands. */
export const RESULT_CODES = [...REQUEST_CODES, ...SYSTEM_CODES] as const;

/** Names of the result codes. */
export type ResultCodeName = (typeof RESULT_CODES)[number]['name'];
