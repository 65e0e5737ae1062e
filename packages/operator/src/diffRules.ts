import type { Rule } from '@galenatiller/types';

import { formatRule } from './formatRule.js';
import { getRuleKey } from './getRuleKey.js';
import { sortRules } from './sortRules.js';

/** One difference between two sets of rules. */
export type RuleChange =
  | { readonly kind: 'added'; readonly after: Rule }
  | { readonly kind: 'removed'; readonly before: Rule }
  | { readonly kind: 'changed'; readonly before: Rule; readonly after: Rule };

/** Options of {@link diffRules}. */
export interface DiffRulesOptions {
  readonly before: readonly Rule[];
  readonly after: readonly Rule[];
}

/** Compares two sets of rules, matched by kind and name. The order of the rules is ignored. */
export function diffRules(opts: DiffRulesOptions): readonly RuleChange[] {
  const beforeByKey = new Map(opts.before.map((rule) => [getRuleKey(rule), rule]));
  const afterKeys = new Set(opts.after.map(getRuleKey));
  const removed = sortRules(opts.before)
    .filter((rule) => !afterKeys.has(getRuleKey(rule)))
    .map((rule): RuleChange => ({ kind: 'removed', before: rule }));
  const addedOrChanged = opts.after.flatMap((rule) =>
    compareRule(beforeByKey.get(getRuleKey(rule)), rule),
  );
  return [...removed, ...addedOrChanged];
}

function compareRule(before: Rule | undefined, after: Rule): readonly RuleChange[] {
  if (!before) {
    return [{ kind: 'added', after }];
  }
  return formatRule(before) === formatRule(after) ? [] : [{ kind: 'changed', before, after }];
}
