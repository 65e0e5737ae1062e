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
export interface ConfigurationFixture extends StoreFixture {
  readonly nodes: FollowingNode[];
  /** Nodes that cannot reach the store. */
  readonly disconnectedNodes: Set<FollowingNode>;
  /** Size of each transaction sent for publications. */
  readonly transactionSizes: number[];
  /** Number of transactions after which the store becomes unavailable. */
  readonly outageAfterWrites: number;
}

/** Creates a store without a configuration and without nodes. */
export function createConfigurationFixture(): ConfigurationFixture {
  return {
    ...createStoreFixture(),
    nodes: [],
    disconnectedNodes: new Set(),
    transactionSizes: [],
    outageAfterWrites: Infinity,
  };
}

/** Creates organisation rules; `weights` overrides the default weight 1 by organisation number. */
export function createOrganisations(
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
  fixture: ConfigurationFixture,
  opts: { readonly author: string; readonly baseRevision: number; readonly rules: readonly Rule[] },
): Promise<Result<PublishResult, PublishFailure>> {
  const transport: StoreTransport = (call) => {
    if (call.kind === 'txn') {
      if (fixture.transactionSizes.length >= fixture.outageAfterWrites) {
        fixture.fakeStore.setFaults({ outage: true });
      }
      fixture.transactionSizes.push(call.body.length);
    }
    return fixture.fakeStore.transport(call);
  };
  const store = createClient(fixture, transport);
  return publishConfiguration({ store, timer: fixture.timer, ...opts });
}

/** Starts a node; `readPeerOffers` replaces its links to other nodes. */
export function startNode(
  fixture: ConfigurationFixture,
  readPeerOffers: () => Promise<readonly PeerOffer[]> = () => Promise.resolve([]),
): FollowingNode {
  const transport: StoreTransport = (call) => {
    if (fixture.disconnectedNodes.has(node)) {
      return Promise.resolve(Result.err({ kind: 'not-sent', detail: 'disconnected' }));
    }
    return fixture.fakeStore.transport(call);
  };
  const revisions: number[] = [];
  const node: FollowingNode = {
    store: createClient(fixture, transport),
    configuration: ActiveConfiguration.create({
      onConfiguration: ({ revision }) => {
        revisions.push(revision);
      },
    }),
    stop: new AbortController(),
    revisions,
  };
  const { store, configuration, stop } = node;
  const { timer } = fixture;
  const random = (): number => 0.5;
  const { signal } = stop;
  followConfiguration({
    store,
    timer,
    active: configuration,
    signal,
    readPeerOffers,
    random,
  }).catch(() => {});
  fixture.nodes.push(node);
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

function createClient(fixture: ConfigurationFixture, transport: StoreTransport): StoreClient {
  const { timer } = fixture;
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
