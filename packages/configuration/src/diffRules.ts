import type { Rule } from '@galenatiller/types';

import type { RevisionDelta } from './headTypes.js';
import { getRuleKey, getRuleName } from './getRuleName.js';
import { encodeRule } from './wire.js';

/** Options of {@link diffRules}. */
export interface DiffRulesOptions {
  readonly before: readonly Rule[];
  readonly after: readonly Rule[];
}

/** Returns the rules that were added or changed and the names of the removed rules. */
export function diffRules(opts: DiffRulesOptions): Pick<RevisionDelta, 'changed' | 'removed'> {
  const rulesBefore = indexByKey(opts.before);
  const rulesAfter = indexByKey(opts.after);
  return {
    changed: [...rulesAfter.values()].filter((rule) => {
      const previous = rulesBefore.get(getRuleKey(getRuleName(rule)));
      return !previous || encodeRule(previous) !== encodeRule(rule);
    }),
    removed: [...rulesBefore.values()]
      .map(getRuleName)
      .filter((name) => !rulesAfter.has(getRuleKey(name))),
  };
}

function indexByKey(rules: readonly Rule[]): ReadonlyMap<string, Rule> {
  return new Map(rules.map((rule) => [getRuleKey(getRuleName(rule)), rule]));
}
