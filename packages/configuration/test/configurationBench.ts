import { createHash } from 'node:crypto';

import {
  followConfiguration,
  ActiveConfiguration,
  type PeerOffer,
  publishConfiguration,
  type PublishResult,
  type PublishFailure,
} from '@galenatiller/configuration';
import { createStoreBench, type StoreBench } from '@galenatiller/fakes';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

/** A node that follows the configuration. */
export interface FollowingNode {
  readonly held: ActiveConfiguration;
  readonly store: StoreClient;
  readonly stop: AbortController;
  /** Revisions in the order in which they came into force. */
  readonly revisions: number[];
}

/** What the publications and the nodes of one test share. */
export interface ConfigurationBench extends StoreBench {
  readonly nodes: FollowingNode[];
  /** Nodes that do not reach the store. */
  readonly cutOff: Set<FollowingNode>;
  /** Sizes of the transactions sent for publications. */
  readonly writtenBytes: number[];
  /** Number of transactions after which the store goes away. */
  readonly outageAfter: number;
}

/** Makes a store without a configuration, and no nodes. */
export function createConfigurationBench(): ConfigurationBench {
  return {
    ...createStoreBench(),
    nodes: [],
    cutOff: new Set(),
    writtenBytes: [],
    outageAfter: Infinity,
  };
}

/** Rules of organisations; `weights` overrides the weight 1 by number. */
export function makeOrganisations(
  count: number,
  weights: Readonly<Record<number, number>> = {},
  prefix = 'organisation',
): readonly Rule[] {
  return Array.from({ length: count }, (_, number) => ({
    kind: 'organisation',
    name: `${prefix}-${number}`,
    keyHashes: [createHash('sha256').update(String(number)).digest('hex')],
    weight: weights[number] ?? 1,
    askedBy: 'ann',
  }));
}

/** Weight of an organisation on a node; 0 when the node has no such rule. */
export function weightOn(node: FollowingNode, number: number): number {
  return node.held.current().organisations.get(`organisation-${number}`)?.weight ?? 0;
}

/** Publishes as one operator and tells the result in words. */
export async function publishAs(
  bench: ConfigurationBench,
  opts: { readonly author: string; readonly baseRevision: number; readonly rules: readonly Rule[] },
): Promise<Result<PublishResult, PublishFailure>> {
  const transport: StoreTransport = (call) => {
    if (call.kind === 'txn') {
      if (bench.writtenBytes.length >= bench.outageAfter) {
        bench.fake.order({ outage: true });
      }
      bench.writtenBytes.push(call.body.length);
    }
    return bench.fake.transport(call);
  };
  const store = createClient(bench, transport);
  return publishConfiguration({ store, timer: bench.timer, ...opts });
}

/** Starts a node; `readPeerOffers` stands for its links to others. */
export function startNode(
  bench: ConfigurationBench,
  readPeerOffers: () => Promise<readonly PeerOffer[]> = () => Promise.resolve([]),
): FollowingNode {
  const transport: StoreTransport = (call) => {
    if (bench.cutOff.has(node)) {
      return Promise.resolve(Result.err({ kind: 'not-sent', detail: 'cut off' }));
    }
    return bench.fake.transport(call);
  };
  const revisions: number[] = [];
  const node: FollowingNode = {
    store: createClient(bench, transport),
    held: ActiveConfiguration.create({
      onConfiguration: ({ revision }) => {
        revisions.push(revision);
      },
    }),
    stop: new AbortController(),
    revisions,
  };
  const { store, held, stop } = node;
  const { timer } = bench;
  const random = (): number => 0.5;
  const { signal } = stop;
  followConfiguration({ store, timer, held, signal, readPeerOffers, random }).catch(() => {});
  bench.nodes.push(node);
  return node;
}

/** What a node offers to others. */
export function offerOf(node: FollowingNode): PeerOffer {
  const { held } = node;
  return {
    revision: held.current().revision,
    shards: held.shardReferences(),
    readShards: (shards) =>
      Promise.resolve(Result.ok(shards.flatMap((shard) => held.findShard(shard) ?? []))),
  };
}

function createClient(bench: ConfigurationBench, transport: StoreTransport): StoreClient {
  const { timer } = bench;
  const budget = CallBudget.create({ timer, callsPerSecond: 1_000, maxBurstCalls: 1_000 });
  return StoreClient.create({ transport, timer, budget, random: () => 0.5 });
}

/** A publication in one word, with its revision. */
export function tellPublication(publication: Result<PublishResult, PublishFailure>): string {
  return publication.match({
    Ok: ({ kind, revision }) => `${kind} ${revision}`,
    Err: ({ error }) => error.codeName,
  });
}
