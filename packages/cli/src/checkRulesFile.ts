import { type ParsedRules, reviewRules } from '@galenatiller/operator';
import { Result } from 'true-myth';

import type { CommandFailure } from './commandFailure.js';
import type { CheckReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import { loadRules, type LoadRulesOptions } from './loadRules.js';
import type { Platform } from './platform.js';

/** Options of {@link checkAgainstActive}. */
export interface CheckAgainstActiveOptions extends LoadRulesOptions {
  readonly platform: Platform;
}

/** Reports the findings in a rules file. */
export async function checkRulesFile(
  opts: LoadRulesOptions,
): Promise<Result<CheckReport, CommandFailure>> {
  return (await loadRules(opts)).map((parsed) => ({
    ...createReport(parsed),
    findings: reviewRules({ parsed }),
  }));
}

/** Reports the findings in a rules file and its differences from the accepted rules. */
export async function checkAgainstActive(
  opts: CheckAgainstActiveOptions,
): Promise<Result<CheckReport, CommandFailure>> {
  const loaded = await loadRules(opts);
  if (loaded.isErr) {
    return Result.err(loaded.error);
  }
  const parsed = loaded.value;
  const accepted = await opts.platform.readConfiguration();
  if (accepted.isErr) {
    // The findings that need no store are reported even in an outage of the store.
    return Result.ok({
      ...createReport(parsed),
      findings: reviewRules({ parsed }),
      unknown: [createUnknownError(accepted.error, 'what differs from the accepted rules')],
    });
  }
  const { revision, author, rules: acceptedRules } = accepted.value;
  return Result.ok({
    ...createReport(parsed),
    findings: reviewRules({ parsed, acceptedRules }),
    active: { revision, author },
  });
}

function createReport({ fileName, rules }: ParsedRules): Omit<CheckReport, 'findings'> {
  return { command: 'check', unknown: [], fileName, rules: rules.length };
}
