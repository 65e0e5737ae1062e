import { formatRules, getRuleKey } from '@galenatiller/operator';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { type CommandFailure, failOnStoreError } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { parseRulesText } from './loadRules.js';
import type { StoredConfiguration } from './platform.js';
import { type RuleChangeOptions, publishRules } from './publishRules.js';

/** Options of {@link upsertRule}. */
export interface UpsertRuleOptions extends RuleChangeOptions {
  /** Writes the new rule line, or says why there is none. */
  readonly createRuleLine: (before: StoredConfiguration) => Result<string, CommandFailure>;
}

/** Adds one rule line to the accepted rules, in place of the rule of its kind and name. */
export async function upsertRule(
  opts: UpsertRuleOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const before = await opts.platform.readConfiguration();
  if (before.isErr) {
    return failOnStoreError(before.error, 'which rules are accepted; nothing was changed');
  }
  const line = opts.createRuleLine(before.value);
  const rules = line.andThen((text) => mergeLine(before.value.rules, text));
  return rules.isErr
    ? Result.err(rules.error)
    : publishRules({ ...opts, before: before.value, rules: rules.value });
}

/** The line stands first in the text, so that its problems are on line 1. */
function mergeLine(rules: readonly Rule[], line: string): Result<readonly Rule[], CommandFailure> {
  const [kind, name] = line.split(' ');
  const key = `${kind ?? ''} ${name ?? ''}`;
  const others = rules.filter((rule) => getRuleKey(rule) !== key);
  const text = `${line}\n${formatRules(others)}`;
  return parseRulesText({ fileName: 'command line', text }).map((parsed) => {
    const [added, ...rest] = parsed.rules;
    const isNew = rest.length === rules.length;
    const written = rules.map((rule) => (getRuleKey(rule) === key && added ? added : rule));
    return isNew && added ? [...rules, added] : written;
  });
}
