import type { Rule } from '@galenatiller/types';

import type { RuleName } from './headTypes.js';

/** The name that identifies a rule among the rules of its kind. */
export function getRuleName(rule: Rule): RuleName {
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

/** Formats the name of a rule as a map key. */
export function getRuleKey(name: RuleName): string {
  return `${name.kind} ${name.name}`;
}
