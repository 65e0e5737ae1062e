import { replaceControlCharacters } from './ruleProblem.js';

/** What is wrong or worth knowing about a rule that is valid by itself. */
export type RuleFindingKind =
  | 'added-rule'
  | 'changed-rule'
  | 'idle-move'
  | 'no-organisation'
  | 'no-route'
  | 'removed-rule'
  | 'unreachable-limit'
  | 'unused-stage';

/** A `problem` means that a rule can't do what it says; a `notice` is harmless or may be intended. */
export type FindingSeverity = 'problem' | 'notice';

/** A finding in a rules file that has no syntax errors and no unknown names. */
export interface RuleFinding {
  readonly kind: RuleFindingKind;
  readonly severity: FindingSeverity;
  readonly fileName: string;
  /** 1-based; 0 for a rule that the file does not have. */
  readonly line: number;
  readonly found: string;
  readonly expected: string;
}

/** Formats a finding as one line, `FILE:LINE: SEVERITY: found …, expected …`. */
export function formatFinding(finding: RuleFinding): string {
  const { fileName, line, severity, found, expected } = finding;
  const position = line === 0 ? fileName : `${fileName}:${line}`;
  return replaceControlCharacters(`${position}: ${severity}: found ${found}, expected ${expected}`);
}
