import type { Rule } from '@galenatiller/types';

import type { RuleName } from './headTypes.js';

/** The name that a rule is found by among the rules of its kind. */
export function ruleName(rule: Rule): RuleName {
  const { kind } = rule;
  switch (kind) {
    case 'limit':
      return { kind, name: rule.organisation };
    case 'move':
      return { kind, name: rule.targetGroup };
    default:
      return { kind, name: rule.name };
  }
}

/** A rule's name as the key of a map. */
export function ruleKey(name: RuleName): string {
  return `${name.kind} ${name.name}`;
}
