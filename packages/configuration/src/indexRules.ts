import type { Configuration, Rule, RuleKind } from '@galenatiller/types';

/** Options of {@link indexRules}. */
export interface IndexRulesOptions {
  readonly revision: number;
  readonly rules: readonly Rule[];
}

/** Indexes rules by name; of two rules with the same kind and name, the later one wins. */
export function indexRules(opts: IndexRulesOptions): Configuration {
  return {
    revision: opts.revision,
    organisations: new Map(
      filterByKind(opts.rules, 'organisation').map((rule) => [rule.name, rule]),
    ),
    routes: new Map(filterByKind(opts.rules, 'route').map((rule) => [rule.name, rule])),
    stages: new Map(filterByKind(opts.rules, 'stage').map((rule) => [rule.name, rule])),
    limits: new Map(filterByKind(opts.rules, 'limit').map((rule) => [rule.organisation, rule])),
    zones: new Map(filterByKind(opts.rules, 'zone').map((rule) => [rule.name, rule])),
    moves: new Map(filterByKind(opts.rules, 'move').map((rule) => [rule.targetGroup, rule])),
  };
}

function filterByKind<Kind extends RuleKind>(
  rules: readonly Rule[],
  kind: Kind,
): readonly Extract<Rule, { kind: Kind }>[] {
  return rules.filter((rule): rule is Extract<Rule, { kind: Kind }> => rule.kind === kind);
}
