import type { Member } from '@galenatiller/store';
import type { DutyName } from '@galenatiller/types';

/** Options of {@link rankCandidates}. */
export interface RankCandidatesOptions {
  readonly duty: DutyName;
  readonly members: readonly Member[];
  /** Hash of a text, the same on every router. */
  readonly hash: (text: string) => number;
}

/**
 * Names of the live routers that stay, in the order in which they take a duty, the same on every
 * router: by rendezvous hashing, so that few duties change their order when a router comes or goes.
 */
export function rankCandidates(opts: RankCandidatesOptions): readonly string[] {
  const { duty, members, hash } = opts;
  return members
    .filter(({ leavingSince }) => leavingSince === 0)
    .map(({ name }) => ({ name, score: hash(`${duty} ${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
