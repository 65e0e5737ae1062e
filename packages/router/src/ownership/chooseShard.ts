import type { StagePiece } from '@galenatiller/types';

import type { Shard } from './serviceShards.js';

/** Options of {@link chooseShard}. */
export interface ChooseShardOptions {
  /** The shards of the service, at least one. */
  readonly shards: readonly Shard[];
  readonly piece: Pick<StagePiece, 'requestId' | 'zoneHint'>;
  /** Zone that keeps the inputs of the piece; empty when that is not known. */
  readonly inputZone: string;
  readonly ownZone: string;
  /** Reported time that a piece waits for a worker of a shard; 0 when there is no report. */
  readonly waitMs: (shard: Shard) => number;
  /** Whether any worker of the shard gets new work. */
  readonly hasWorkers: (shard: Shard) => boolean;
  readonly hash: (text: string) => number;
}

/** Extra wait that is accepted for a shard in the preferred zone; about a half of a batch call. */
const MAX_EXTRA_WAIT_MS = 150;

/**
 * Chooses the shard of a piece: one in the zone where its result is used or its inputs are, unless
 * its workers are much busier than others. The pieces of a call choose the same shard.
 */
export function chooseShard(opts: ChooseShardOptions): Shard | undefined {
  const { piece, waitMs } = opts;
  const [only] = opts.shards;
  if (opts.shards.length === 1) {
    return only;
  }
  const served = opts.shards.filter(opts.hasWorkers);
  const shards = served.length > 0 ? served : opts.shards;
  const least = findLeastBusy(opts, shards);
  const zones = [piece.zoneHint, opts.inputZone, opts.ownZone].filter((zone) => zone !== '');
  const preferredZone = zones.find((zone) => shards.some((shard) => shard.zones.includes(zone)));
  const near = findLeastBusy(
    opts,
    shards.filter((shard) => shard.zones.includes(preferredZone ?? '')),
  );
  return near && least && waitMs(near) <= waitMs(least) + MAX_EXTRA_WAIT_MS ? near : least;
}

function findLeastBusy(opts: ChooseShardOptions, shards: readonly Shard[]): Shard | undefined {
  const { piece, hash, waitMs } = opts;
  const rank = (shard: Shard): number => hash(`${piece.requestId} ${shard.key}`);
  return shards.reduce<Shard | undefined>((found, shard) => {
    const difference = found ? waitMs(found) - waitMs(shard) : 1;
    const isBetter = difference > 0 || (difference === 0 && found && rank(shard) > rank(found));
    return isBetter ? shard : found;
  }, undefined);
}
