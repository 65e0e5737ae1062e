import type { Rule } from '@galenatiller/types';

import { getRuleKey, getRuleName } from './getRuleName.js';
import type { RevisionDelta } from './headTypes.js';

/** Applies deltas to rules, in order. */
export function applyDeltas(
  rules: readonly Rule[],
  deltas: readonly Pick<RevisionDelta, 'changed' | 'removed'>[],
): readonly Rule[] {
  const rulesByKey = new Map(rules.map((rule) => [getRuleKey(getRuleName(rule)), rule]));
  deltas.forEach(({ removed, changed }) => {
    removed.forEach((name) => rulesByKey.delete(getRuleKey(name)));
    changed.forEach((rule) => rulesByKey.set(getRuleKey(getRuleName(rule)), rule));
  });
  return [...rulesByKey.values()];
}
