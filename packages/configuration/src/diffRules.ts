import type { Rule } from '@galenatiller/types';

import type { RevisionDelta } from './headTypes.js';
import { ruleKey, ruleName } from './ruleName.js';
import { encodeRule } from './wire.js';

/** Options of {@link diffRules}. */
export interface DiffRulesOptions {
  readonly before: readonly Rule[];
  readonly after: readonly Rule[];
}

/** The rules that were added or changed, and the names of those removed. */
export function diffRules(opts: DiffRulesOptions): Pick<RevisionDelta, 'changed' | 'removed'> {
  const before = byKey(opts.before);
  const after = byKey(opts.after);
  return {
    changed: [...after.values()].filter((rule) => {
      const old = before.get(ruleKey(ruleName(rule)));
      return !old || encodeRule(old) !== encodeRule(rule);
    }),
    removed: [...before.values()].map(ruleName).filter((name) => !after.has(ruleKey(name))),
  };
}

function byKey(rules: readonly Rule[]): ReadonlyMap<string, Rule> {
  return new Map(rules.map((rule) => [ruleKey(ruleName(rule)), rule]));
}
