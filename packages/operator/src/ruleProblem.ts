/** One thing wrong with a rules file: where, what stands there and what should. */
export interface RuleProblem {
  readonly fileName: string;
  /** Line and column count from 1. */
  readonly line: number;
  readonly column: number;
  readonly found: string;
  readonly expected: string;
  /** The nearest known name; empty when none is near. */
  readonly nearest: string;
}

/** A place in the text of a rules file, counted from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A problem before the name of its file is known. */
export type LocalProblem = Omit<RuleProblem, 'fileName'>;

/** Longest excerpt of the file in a message, in characters. */
const MAX_FOUND_LENGTH = 80;

/** The problem as one line, `FILE:LINE:COLUMN: found …, expected …`. */
export function formatProblem(problem: RuleProblem): string {
  const place = `${problem.fileName}:${problem.line}:${problem.column}`;
  const hint = problem.nearest === '' ? '' : `; did you mean ${problem.nearest}?`;
  return `${place}: found ${printable(problem.found)}, expected ${problem.expected}${hint}`;
}

/** Control characters of a file must not reach a terminal. */
function printable(found: string): string {
  const shown = found.replace(/\p{C}/gu, '?');
  return shown.length > MAX_FOUND_LENGTH ? `${shown.slice(0, MAX_FOUND_LENGTH)}…` : shown;
}
