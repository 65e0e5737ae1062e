import { diffRules } from '@galenatiller/operator';
import { Result } from 'true-myth';

import { type CommandFailure, failOnStoreError } from './commandFailure.js';
import type { DiffReport } from './commandReport.js';
import { loadRules, type LoadRulesOptions } from './loadRules.js';
import type { Platform } from './platform.js';

/** Options of {@link diffRulesFile}. */
export interface DiffRulesFileOptions extends LoadRulesOptions {
  readonly platform: Platform;
}

/** Compares the accepted rules with those of a file. */
export async function diffRulesFile(
  opts: DiffRulesFileOptions,
): Promise<Result<DiffReport, CommandFailure>> {
  const parsed = await loadRules(opts);
  if (parsed.isErr) {
    return Result.err(parsed.error);
  }
  const before = await opts.platform.readConfiguration();
  if (before.isErr) {
    return failOnStoreError(
      before.error,
      'which rules are accepted, and so what the file would change',
    );
  }
  const { revision, author, rules } = before.value;
  const changes = diffRules({ before: rules, after: parsed.value.rules });
  return Result.ok({ command: 'diff', unknown: [], revision, author, changes });
}
