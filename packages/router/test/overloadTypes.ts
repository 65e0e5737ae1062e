import type { Member } from '@galenatiller/store';

/** How pieces get to workers. */
export interface OverloadPolicy {
  /** Names of the routers that may fill a shard, the owner first. */
  readonly candidates: (shard: string) => readonly string[];
  /** The shard of a worker. */
  readonly shardOf: (worker: SimulatedWorker) => string;
  /** Shards of a service that pieces are spread over. */
  readonly shardsOf: (service: string) => readonly string[];
  /** Whether a router says how much it accepts, and its peers heed that. */
  readonly hasCredit: boolean;
  /** Silence of a router after which it gets no further pieces. */
  readonly slowAfterMs: number;
  /** Silence of a router after which the pieces that it has are submitted again. */
  readonly lostAfterMs: number;
  /** Whether a router submits pieces by itself when no candidate accepts them. */
  readonly submitsAlone: boolean;
  readonly refusedPauseMs: (opts: {
    readonly refusals: number;
    readonly senders: number;
  }) => number;
}

/** A stage worker. */
export interface SimulatedWorker {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
}

/** Options of {@link OverloadSimulation.create}. */
export interface OverloadOptions {
  readonly members: readonly Member[];
  readonly workers: readonly SimulatedWorker[];
  readonly createPolicy: (opts: OverloadOptions) => OverloadPolicy;
  readonly callsPerSecond: number;
  readonly seed: number;
}

export const LIMITS = {
  maxPieces: 26,
  callOverheadMs: 200,
  pieceMs: 6.6,
  resultMemoryBytes: 3_400_000,
  resultTtlMs: 4_000,
};
