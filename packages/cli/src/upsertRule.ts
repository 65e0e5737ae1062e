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
  /** Creates the new rule line, or returns why that is not possible. */
  readonly createRuleLine: (before: StoredConfiguration) => Result<string, CommandFailure>;
}

/** Adds a rule to the accepted rules, or replaces the rule of the same kind and name. */
export async function upsertRule(
  opts: UpsertRuleOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const before = await opts.platform.readConfiguration();
  if (before.isErr) {
    return failOnStoreError(before.error, 'which rules are accepted; nothing was changed');
  }
  const line = opts.createRuleLine(before.value);
  const rules = line.andThen((text) => mergeRuleLine(before.value.rules, text));
  return rules.isErr
    ? Result.err(rules.error)
    : publishRules({ ...opts, before: before.value, rules: rules.value });
}

/**
 * Merges a rule line into rules. The line comes first in the parsed text, so that its problems are
 * reported on line 1.
 */
function mergeRuleLine(
  rules: readonly Rule[],
  line: string,
): Result<readonly Rule[], CommandFailure> {
  const [kind, name] = line.split(' ');
  const key = `${kind ?? ''} ${name ?? ''}`;
  const others = rules.filter((rule) => getRuleKey(rule) !== key);
  const text = `${line}\n${formatRules(others)}`;
  return parseRulesText({ fileName: 'command line', text }).map((parsed) => {
    const [added, ...rest] = parsed.rules;
    const isNew = rest.length === rules.length;
    const replaced = rules.map((rule) => (getRuleKey(rule) === key && added ? added : rule));
    return isNew && added ? [...rules, added] : replaced;
  });
}
