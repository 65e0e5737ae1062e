import type { Rule, RuleKind } from '@galenatiller/types';
import { Ord as numberOrd } from 'fp-ts/lib/number.js';
import { contramap } from 'fp-ts/lib/Ord.js';
import { sortBy } from 'fp-ts/lib/ReadonlyArray.js';
import { Ord as stringOrd } from 'fp-ts/lib/string.js';

import { getRuleKey } from './getRuleKey.js';

/** Order of the kinds when rules are shown, chosen for readability. */
const KIND_ORDER: readonly RuleKind[] = ['organisation', 'limit', 'stage', 'route', 'zone', 'move'];

/** Sorts rules by kind and name. The store returns them in a different order. */
export const sortRules: (rules: readonly Rule[]) => readonly Rule[] = sortBy([
  contramap((rule: Rule) => KIND_ORDER.indexOf(rule.kind))(numberOrd),
  contramap(getRuleKey)(stringOrd),
]);
