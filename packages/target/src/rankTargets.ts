import type { RegisteredTarget } from '@galenatiller/types';

/** Rendezvous hashing: every node prefers the same targets for the same key. */
export function rankTargets(
  targets: readonly RegisteredTarget[],
  key: string,
  hash: (text: string) => number,
): readonly RegisteredTarget[] {
  return targets
    .map((target) => ({ target, rank: hash(`${key} ${target.id}`) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ target }) => target);
}
