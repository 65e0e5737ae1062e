import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import type { ShardReader, ShardReference } from './headTypes.js';
import type { AdvanceResult, ActiveConfiguration } from './activeConfiguration.js';

/** The revision that is in force on another node, and a way to read its shards. */
export interface PeerOffer {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
  readonly readShards: ShardReader;
}

/** Options of {@link adoptFromPeer}. */
export interface AdoptFromPeerOptions {
  readonly held: ActiveConfiguration;
  readonly offers: readonly PeerOffer[];
}

/**
 * Takes the highest revision that another node offers; a node holds accepted revisions only. When
 * that node fails, the next highest is taken. The error is that of the last node tried.
 */
export async function adoptFromPeer(
  opts: AdoptFromPeerOptions,
): Promise<Result<AdvanceResult, GalenatillerError>> {
  const { held } = opts;
  const highestFirst = [...opts.offers].sort((left, right) => right.revision - left.revision);
  let answer: Result<AdvanceResult, GalenatillerError> = Result.ok('not-newer');
  for (const { revision, shards, readShards } of highestFirst) {
    answer = await held.advance({ view: { revision, shards, deltas: [] }, readShards });
    if (answer.isOk) {
      return answer;
    }
  }
  return answer;
}
