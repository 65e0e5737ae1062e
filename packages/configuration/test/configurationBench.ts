import { createHash } from 'node:crypto';

import {
  followConfiguration,
  ActiveConfiguration,
  type PeerOffer,
  publishConfiguration,
  type PublishResult,
  type PublishFailure,
} from '@galenatiller/configuration';
import { createStoreFixture, type StoreFixture } from '@galenatiller/fakes';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import type { Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

/** A node that follows the configuration. */
export interface FollowingNode {
  readonly configuration: ActiveConfiguration;
  readonly store: StoreClient;
  readonly stop: AbortController;
  /** Revisions in the order in which they became active. */
  readonly revisions: number[];
}

/** State shared by the publications and nodes of one test. */
export interface ConfigurationBench extends StoreFixture {
  readonly nodes: FollowingNode[];
  /** Nodes that cannot reach the store. */
  readonly disconnectedNodes: Set<FollowingNode>;
  /** Size of each transaction sent for publications. */
  readonly transactionSizes: number[];
  /** Number of transactions after which the store becomes unavailable. */
  readonly outageAfterWrites: number;
}

/** Creates a store without a configuration and without nodes. */
export function createConfigurationBench(): ConfigurationBench {
  return {
    ...createStoreFixture(),
    nodes: [],
    disconnectedNodes: new Set(),
    transactionSizes: [],
    outageAfterWrites: Infinity,
  };
}

/** Creates organisation rules; `weights` overrides the default weight 1 by organisation number. */
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

/** Weight of an organisation on a node; 0 if the node has no such rule. */
export function getWeight(node: FollowingNode, number: number): number {
  return node.configuration.current().organisations.get(`organisation-${number}`)?.weight ?? 0;
}

/** Publishes rules as one operator. */
export async function publishAs(
  bench: ConfigurationBench,
  opts: { readonly author: string; readonly baseRevision: number; readonly rules: readonly Rule[] },
): Promise<Result<PublishResult, PublishFailure>> {
  const transport: StoreTransport = (call) => {
    if (call.kind === 'txn') {
      if (bench.transactionSizes.length >= bench.outageAfterWrites) {
        bench.fakeStore.setFaults({ outage: true });
      }
      bench.transactionSizes.push(call.body.length);
    }
    return bench.fakeStore.transport(call);
  };
  const store = createClient(bench, transport);
  return publishConfiguration({ store, timer: bench.timer, ...opts });
}

/** Starts a node; `readPeerOffers` replaces its links to other nodes. */
export function startNode(
  bench: ConfigurationBench,
  readPeerOffers: () => Promise<readonly PeerOffer[]> = () => Promise.resolve([]),
): FollowingNode {
  const transport: StoreTransport = (call) => {
    if (bench.disconnectedNodes.has(node)) {
      return Promise.resolve(Result.err({ kind: 'not-sent', detail: 'disconnected' }));
    }
    return bench.fakeStore.transport(call);
  };
  const revisions: number[] = [];
  const node: FollowingNode = {
    store: createClient(bench, transport),
    configuration: ActiveConfiguration.create({
      onConfiguration: ({ revision }) => {
        revisions.push(revision);
      },
    }),
    stop: new AbortController(),
    revisions,
  };
  const { store, configuration, stop } = node;
  const { timer } = bench;
  const random = (): number => 0.5;
  const { signal } = stop;
  followConfiguration({ store, timer, held: configuration, signal, readPeerOffers, random }).catch(
    () => {},
  );
  bench.nodes.push(node);
  return node;
}

/** The offer of a node to other nodes. */
export function createOffer(node: FollowingNode): PeerOffer {
  const { configuration } = node;
  return {
    revision: configuration.current().revision,
    shards: configuration.shardReferences(),
    readShards: (shards) =>
      Promise.resolve(Result.ok(shards.flatMap((shard) => configuration.findShard(shard) ?? []))),
  };
}

function createClient(bench: ConfigurationBench, transport: StoreTransport): StoreClient {
  const { timer } = bench;
  const budget = CallBudget.create({ timer, callsPerSecond: 1_000, maxBurstCalls: 1_000 });
  return StoreClient.create({ transport, timer, budget, random: () => 0.5 });
}

/** Formats the kind and revision of a publication, or its error code. */
export function formatResult(publication: Result<PublishResult, PublishFailure>): string {
  return publication.match({
    Ok: ({ kind, revision }) => `${kind} ${revision}`,
    Err: ({ error }) => error.codeName,
  });
}
