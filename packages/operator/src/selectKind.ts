import type { Rule, RuleKind } from '@galenatiller/types';

/** Returns the lines whose rule is of the given kind. */
export function selectKind<Line extends { readonly rule: Rule }, Kind extends RuleKind>(
  lines: readonly Line[],
  kind: Kind,
): readonly (Line & { readonly rule: Extract<Rule, { kind: Kind }> })[] {
  return lines.filter(
    (line): line is Line & { readonly rule: Extract<Rule, { kind: Kind }> } =>
      line.rule.kind === kind,
  );
}
