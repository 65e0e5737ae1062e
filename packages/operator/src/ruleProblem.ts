/** A problem in a rules file: its position, what was found and what was expected. */
export interface RuleProblem {
  readonly fileName: string;
  /** Line and column are 1-based. */
  readonly line: number;
  readonly column: number;
  readonly found: string;
  readonly expected: string;
  /** Known name most similar to the one found; empty when none is similar. */
  readonly nearest: string;
}

/** A position in the text of a rules file; line and column are 1-based. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A problem whose file name has not been added yet. */
export type LocalProblem = Omit<RuleProblem, 'fileName'>;

/** Maximum length of the file excerpt in a message, in characters. */
const MAX_EXCERPT_LENGTH = 80;

/** Formats a problem as one line, `FILE:LINE:COLUMN: found …, expected …`. */
export function formatProblem(problem: RuleProblem): string {
  const position = `${problem.fileName}:${problem.line}:${problem.column}`;
  const suggestion = problem.nearest === '' ? '' : `; did you mean ${problem.nearest}?`;
  return `${position}: found ${formatExcerpt(problem.found)}, expected ${problem.expected}${suggestion}`;
}

/** Replaces control characters, which must not reach a terminal. */
export function replaceControlCharacters(text: string): string {
  return text.replace(/\p{C}/gu, '?');
}

/** Shortens an excerpt and replaces its control characters. */
function formatExcerpt(found: string): string {
  const printable = replaceControlCharacters(found);
  return printable.length > MAX_EXCERPT_LENGTH
    ? `${printable.slice(0, MAX_EXCERPT_LENGTH)}…`
    : printable;
}
