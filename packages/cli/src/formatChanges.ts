import { formatRule, type RuleChange } from '@galenatiller/operator';

/** Formats changes as lines: `-` marks a rule before the change, `+` after it. */
export function formatChanges(changes: readonly RuleChange[]): readonly string[] {
  return changes.flatMap((change) => {
    switch (change.kind) {
      case 'added':
        return [`+ ${formatRule(change.after)}`];
      case 'removed':
        return [`- ${formatRule(change.before)}`];
      default:
        return [`- ${formatRule(change.before)}`, `+ ${formatRule(change.after)}`];
    }
  });
}
