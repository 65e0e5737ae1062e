import type { RegisteredTarget } from '@galenatiller/types';

import { rankTargets } from './rankTargets.js';

/** Rankings that are kept for the targets of one service, each a reference for each target. */
const MAX_RANKINGS = 64;

/** The usable targets of a service, and their rankings for the keys that were used last. */
export class UsableTargets {
  private readonly rankings = new Map<string, readonly RegisteredTarget[]>();

  private constructor(readonly targets: readonly RegisteredTarget[]) {}

  /** Creates an instance without rankings. */
  static create(targets: readonly RegisteredTarget[]): UsableTargets {
    return new UsableTargets(targets);
  }

  /** The targets, from the one that most prefers a key down. */
  rank(key: string, hash: (text: string) => number): readonly RegisteredTarget[] {
    const ranked = this.rankings.get(key) ?? rankTargets(this.targets, key, hash);
    // The key that was used last becomes the newest.
    this.rankings.delete(key);
    this.rankings.set(key, ranked);
    const [oldest] = this.rankings.keys();
    if (this.rankings.size > MAX_RANKINGS && oldest !== undefined) {
      this.rankings.delete(oldest);
    }
    return ranked;
  }
}
