import type { Outcome } from '@galenatiller/types';

/** One row of the table of result codes. */
export interface ResultCodeDefinition {
  readonly code: number;
  readonly name: string;
  /** What the code proves about execution by itself. */
  readonly outcome: Outcome;
  readonly httpStatus: number;
  readonly meaning: string;
  readonly hint: string;
}

/** Makes one row, keeping its name as a literal type. */
export function defineResultCode<const Name extends string>(
  code: number,
  name: Name,
  outcome: Outcome,
  httpStatus: number,
  meaning: string,
  hint: string,
): ResultCodeDefinition & { readonly name: Name } {
  return { code, name, outcome, httpStatus, meaning, hint };
}
