import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { NodeFrame, RuleShard, ShardReference } from './frames.js';
import type { Link } from './link.js';

/** The active configuration of a node, as it is offered to other nodes. */
export interface ConfigurationOffer {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
}

/** The offer of a peer, and a way to read its shards over the link. */
export interface PeerOffer extends ConfigurationOffer {
  readonly readShards: (
    shards: readonly ShardReference[],
  ) => Promise<Result<readonly RuleShard[], GalenatillerError>>;
}

/** Options of {@link ConfigurationExchange.create}. */
export interface ConfigurationExchangeOptions {
  readonly timer: TimerService;
  readonly getOwnOffer: () => ConfigurationOffer;
  readonly findShard: (shard: ShardReference) => RuleShard | undefined;
}

interface Peer {
  readonly link: Link;
  /** Receives the next response of the peer; there is one outstanding request at a time. */
  pendingResponse: ((response: NodeFrame) => void) | undefined;
}

/** Time limit for the response of a peer to one request. */
const RESPONSE_TIMEOUT_MS = 500;

/**
 * Exchanges the active configuration with other nodes, so that it stays available during a store
 * outage.
 */
export class ConfigurationExchange {
  private readonly peers = new Map<Link, Peer>();

  private constructor(private readonly opts: ConfigurationExchangeOptions) {}

  /** Creates an exchange without peers. */
  static create(opts: ConfigurationExchangeOptions): ConfigurationExchange {
    return new ConfigurationExchange(opts);
  }

  /** Adds the peer of a link that has opened. */
  addLink(link: Link): void {
    this.peers.set(link, { link, pendingResponse: undefined });
  }

  /** Removes the peer of a link that has ended. */
  removeLink(link: Link): void {
    this.peers.delete(link);
  }

  /** Handles a frame: responds to a request, or passes a response to the pending request. */
  handleFrame(link: Link, frame: NodeFrame): void {
    switch (frame.kind) {
      case 'offer-ask':
        link.send({ kind: 'offer', ...this.opts.getOwnOffer() });
        break;
      case 'shard-ask':
        link.send({ kind: 'shard', shard: this.opts.findShard(frame.shard) });
        break;
      case 'offer':
      case 'shard':
        this.peers.get(link)?.pendingResponse?.(frame);
        break;
      default:
    }
  }

  /** Requests the offers of all peers; peers that do not respond in time are omitted. */
  async requestOffers(): Promise<readonly PeerOffer[]> {
    const offers = await Promise.all(
      [...this.peers.values()].map((peer) => this.requestOffer(peer)),
    );
    return offers.flatMap((offer) => offer ?? []);
  }

  private async requestOffer(peer: Peer): Promise<PeerOffer | undefined> {
    const response = await this.request(peer, { kind: 'offer-ask' });
    if (response?.kind !== 'offer') {
      return undefined;
    }
    const { revision, shards } = response;
    return { revision, shards, readShards: (references) => this.readShards(peer, references) };
  }

  /** Reads the shards one at a time, which bounds frame size and memory. */
  private async readShards(
    peer: Peer,
    references: readonly ShardReference[],
  ): Promise<Result<readonly RuleShard[], GalenatillerError>> {
    const shards: RuleShard[] = [];
    for (const shard of references) {
      const response = await this.request(peer, { kind: 'shard-ask', shard });
      if (response?.kind !== 'shard' || !response.shard) {
        const detail = `the peer did not return shard ${shard.index}`;
        return Result.err(GalenatillerError.create({ name: 'link-lost', detail }));
      }
      shards.push(response.shard);
    }
    return Result.ok(shards);
  }

  private request(peer: Peer, frame: NodeFrame): Promise<NodeFrame | undefined> {
    return new Promise((resolve) => {
      const pendingPeer = peer;
      const finish = (response: NodeFrame | undefined): void => {
        cancel();
        pendingPeer.pendingResponse = undefined;
        resolve(response);
      };
      const cancel = this.opts.timer.after({
        delayMs: RESPONSE_TIMEOUT_MS,
        notify: () => finish(undefined),
      });
      pendingPeer.pendingResponse = finish;
      if (!peer.link.send(frame)) {
        finish(undefined);
      }
    });
  }
}
