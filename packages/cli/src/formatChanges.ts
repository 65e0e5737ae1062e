import { formatRule, type RuleChange } from '@galenatiller/operator';

/** The lines of a difference, `-` before and `+` after. */
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
