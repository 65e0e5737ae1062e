import type { Outcome } from '@galenatiller/types';

/** Definition of a result code. */
export interface ResultCodeDefinition {
  readonly code: number;
  readonly name: string;
  /** Whether the request ran, as far as the code alone tells. */
  readonly outcome: Outcome;
  readonly httpStatus: number;
  readonly meaning: string;
  readonly hint: string;
}

/** Defines a result code; its name is kept as a literal type. */
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
