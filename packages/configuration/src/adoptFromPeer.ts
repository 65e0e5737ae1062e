import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import type { ShardReader, ShardReference } from './headTypes.js';
import type { AdvanceResult, ActiveConfiguration } from './activeConfiguration.js';

/** The revision that is active on another node, and a way to read its shards. */
export interface PeerOffer {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
  readonly readShards: ShardReader;
}

/** Options of {@link adoptFromPeer}. */
export interface AdoptFromPeerOptions {
  /** The configuration of this node. */
  readonly active: ActiveConfiguration;
  readonly offers: readonly PeerOffer[];
}

/**
 * Adopts the highest revision that another node offers; nodes only have accepted revisions. If
 * reading from that node fails, the next highest is tried. The error is that of the last attempt.
 */
export async function adoptFromPeer(
  opts: AdoptFromPeerOptions,
): Promise<Result<AdvanceResult, GalenatillerError>> {
  const { active } = opts;
  const offersByRevision = [...opts.offers].sort((left, right) => right.revision - left.revision);
  let result: Result<AdvanceResult, GalenatillerError> = Result.ok('not-newer');
  for (const { revision, shards, readShards } of offersByRevision) {
    result = await active.advance({ manifest: { revision, shards, deltas: [] }, readShards });
    if (result.isOk) {
      return result;
    }
  }
  return result;
}
