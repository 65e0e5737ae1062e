/** An error in a settings file. */
export interface SettingsProblem {
  readonly fileName: string;
  /** Line number, from 1; 0 when the problem is that something is missing. */
  readonly line: number;
  /** Empty when the problem concerns the whole file. */
  readonly section: string;
  /** Empty when the problem concerns the whole section. */
  readonly key: string;
  /** What the file contains; never the value of a secret key. */
  readonly found: string;
  readonly expected: string;
  /** Most similar known name; empty when none is similar. */
  readonly nearest: string;
}

/** Renders a problem as one line: file, line, section, key, what was found and what was expected. */
export function renderSettingsProblem(problem: SettingsProblem): string {
  const { fileName, line, section, key, found, expected, nearest } = problem;
  const location = [
    line > 0 ? `${fileName}:${line}` : fileName,
    [section && `[${section}]`, key].filter(Boolean).join(' '),
  ];
  const hint = nearest ? ` (did you mean ${nearest}?)` : '';
  return `${location.filter(Boolean).join(': ')}: found ${found}, expected ${expected}${hint}`;
}
