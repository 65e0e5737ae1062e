import { Result } from 'true-myth';

import { type CommandFailure, failOnStoreError } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { loadRules, type ReadText } from './loadRules.js';
import { type RuleChangeOptions, failOnConflict, publishRules } from './publishRules.js';

/** Options of {@link applyRulesFile}. */
export interface ApplyRulesFileOptions extends RuleChangeOptions {
  readonly fileName: string;
  readonly readText: ReadText;
  /** Revision that the file was made from; 0 takes the newest. */
  readonly baseRevision: number;
}

/** Puts the rules of a file in force. */
export async function applyRulesFile(
  opts: ApplyRulesFileOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const parsed = await loadRules(opts);
  if (parsed.isErr) {
    return Result.err(parsed.error);
  }
  const before = await opts.platform.readConfiguration();
  if (before.isErr) {
    return failOnStoreError(before.error, 'which rules are accepted; nothing was changed');
  }
  if (opts.baseRevision > 0 && opts.baseRevision !== before.value.revision) {
    // The rules at the base are not kept, so the newest ones are compared with the file.
    const base = { ...before.value, revision: opts.baseRevision, rules: parsed.value.rules };
    return failOnConflict(base, before.value);
  }
  return publishRules({ ...opts, before: before.value, rules: parsed.value.rules });
}
