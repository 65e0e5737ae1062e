import type { Rule, RuleKind } from '@galenatiller/types';
import { Ord as numberOrd } from 'fp-ts/lib/number.js';
import { contramap } from 'fp-ts/lib/Ord.js';
import { sortBy } from 'fp-ts/lib/ReadonlyArray.js';
import { Ord as stringOrd } from 'fp-ts/lib/string.js';

import { getRuleKey } from './getRuleKey.js';

/** Kinds in the order in which a file is best read. */
const KIND_ORDER: readonly RuleKind[] = ['organisation', 'limit', 'stage', 'route', 'zone', 'move'];

/** Rules by kind and name; the store keeps them in an order of its own. */
export const sortRules: (rules: readonly Rule[]) => readonly Rule[] = sortBy([
  contramap((rule: Rule) => KIND_ORDER.indexOf(rule.kind))(numberOrd),
  contramap(getRuleKey)(stringOrd),
]);
