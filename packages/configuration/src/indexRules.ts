import type { Configuration, Rule, RuleKind } from '@galenatiller/types';

/** Options of {@link indexRules}. */
export interface IndexRulesOptions {
  readonly revision: number;
  readonly rules: readonly Rule[];
}

/** Indexes rules by name; of two rules of one kind with one name the later stands. */
export function indexRules(opts: IndexRulesOptions): Configuration {
  return {
    revision: opts.revision,
    organisations: new Map(ofKind(opts.rules, 'organisation').map((rule) => [rule.name, rule])),
    routes: new Map(ofKind(opts.rules, 'route').map((rule) => [rule.name, rule])),
    stages: new Map(ofKind(opts.rules, 'stage').map((rule) => [rule.name, rule])),
    limits: new Map(ofKind(opts.rules, 'limit').map((rule) => [rule.organisation, rule])),
    zones: new Map(ofKind(opts.rules, 'zone').map((rule) => [rule.name, rule])),
    moves: new Map(ofKind(opts.rules, 'move').map((rule) => [rule.targetGroup, rule])),
  };
}

function ofKind<Kind extends RuleKind>(
  rules: readonly Rule[],
  kind: Kind,
): readonly Extract<Rule, { kind: Kind }>[] {
  return rules.filter((rule): rule is Extract<Rule, { kind: Kind }> => rule.kind === kind);
}
