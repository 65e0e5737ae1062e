import { Result } from 'true-myth';

import { type CommandFailure, failWithoutStore } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { loadRules, type ReadText } from './loadRules.js';
import { type ChangeOptions, failConflict, publishRules } from './publishRules.js';

/** Options of {@link applyFile}. */
export interface ApplyFileOptions extends ChangeOptions {
  readonly fileName: string;
  readonly readText: ReadText;
  /** Revision that the file was made from; 0 takes the newest. */
  readonly baseRevision: number;
}

/** Puts the rules of a file in force. */
export async function applyFile(
  opts: ApplyFileOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const parsed = await loadRules(opts);
  if (parsed.isErr) {
    return Result.err(parsed.error);
  }
  const before = await opts.platform.readConfiguration();
  if (before.isErr) {
    return failWithoutStore(before.error, 'which rules are accepted; nothing was changed');
  }
  if (opts.baseRevision > 0 && opts.baseRevision !== before.value.revision) {
    // The rules at the base are not kept, so the newest ones are compared with the file.
    const base = { ...before.value, revision: opts.baseRevision, rules: parsed.value.rules };
    return failConflict(base, before.value);
  }
  return publishRules({ ...opts, before: before.value, rules: parsed.value.rules });
}
