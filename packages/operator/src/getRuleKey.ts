import type { Rule } from '@galenatiller/types';

/** Kind and name of a rule, which two rules of a file never share. */
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
