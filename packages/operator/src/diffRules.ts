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

/** The differences by kind and name; the order of rules makes none. */
export function diffRules(opts: DiffRulesOptions): readonly RuleChange[] {
  const before = new Map(opts.before.map((rule) => [getRuleKey(rule), rule]));
  const afterKeys = new Set(opts.after.map(getRuleKey));
  const removed = sortRules(opts.before)
    .filter((rule) => !afterKeys.has(getRuleKey(rule)))
    .map((rule): RuleChange => ({ kind: 'removed', before: rule }));
  const written = opts.after.flatMap((rule) => changeOf(before.get(getRuleKey(rule)), rule));
  return [...removed, ...written];
}

function changeOf(before: Rule | undefined, after: Rule): readonly RuleChange[] {
  if (!before) {
    return [{ kind: 'added', after }];
  }
  return formatRule(before) === formatRule(after) ? [] : [{ kind: 'changed', before, after }];
}
