import { GalenatillerError } from '@galenatiller/error';
import { formatProblem, type ParsedRules, parseRules } from '@galenatiller/operator';
import type { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';

/** Reads the whole text of a file; rejects when it can't be read. */
export type ReadText = (fileName: string) => Promise<string>;

/** Options of {@link loadRules}. */
export interface LoadRulesOptions {
  readonly fileName: string;
  readonly readText: ReadText;
}

/** Reads and checks a rules file; the failure has a line for each problem. */
export async function loadRules(
  opts: LoadRulesOptions,
): Promise<Result<ParsedRules, CommandFailure>> {
  const { fileName } = opts;
  try {
    return parseRulesText({ fileName, text: await opts.readText(fileName) });
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown reason';
    const detail = `${fileName}: found no text (${reason}), expected a rules file`;
    return fail(GalenatillerError.create({ name: 'rules-invalid', detail }));
  }
}

/** Checks the text of rules; the failure has a line for each problem. */
export function parseRulesText(opts: {
  readonly fileName: string;
  readonly text: string;
}): Result<ParsedRules, CommandFailure> {
  return parseRules(opts).mapErr((problems) => {
    const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
    const detail = `${opts.fileName} has ${count}`;
    const error = GalenatillerError.create({ name: 'rules-invalid', detail });
    return { error, details: problems.map(formatProblem) };
  });
}
