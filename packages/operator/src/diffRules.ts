import type { Rule } from '@galenatiller/types';

import { formatRule } from './formatRule.js';

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
  const before = new Map(opts.before.map((rule) => [ruleKey(rule), rule]));
  const afterKeys = new Set(opts.after.map(ruleKey));
  const removed = opts.before
    .filter((rule) => !afterKeys.has(ruleKey(rule)))
    .map((rule): RuleChange => ({ kind: 'removed', before: rule }));
  const written = opts.after.flatMap((rule) => changeOf(before.get(ruleKey(rule)), rule));
  return [...removed, ...written];
}

/** Kind and name of a rule, which two rules of a file never share. */
export function ruleKey(rule: Rule): string {
  switch (rule.kind) {
    case 'limit':
      return `limit ${rule.organisation}`;
    case 'move':
      return `move ${rule.targetGroup}`;
    default:
      return `${rule.kind} ${rule.name}`;
  }
}

function changeOf(before: Rule | undefined, after: Rule): readonly RuleChange[] {
  if (!before) {
    return [{ kind: 'added', after }];
  }
  return formatRule(before) === formatRule(after) ? [] : [{ kind: 'changed', before, after }];
}
