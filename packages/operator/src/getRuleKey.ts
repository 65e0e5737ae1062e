import type { Rule } from '@galenatiller/types';

/** Returns the kind and name of a rule, which together are unique in a rules file. */
export function getRuleKey(rule: Rule): string {
  switch (rule.kind) {
    case 'limit':
      return `limit ${rule.organisation}`;
    case 'move':
      return `move ${rule.targetGroup}`;
    default:
      return `${rule.kind} ${rule.name}`;
  }
}
