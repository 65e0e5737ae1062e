import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { NodeFrame, RuleShard, ShardReference } from './frames.js';
import type { Link } from './link.js';

/** What a node has in force, as it offers it to others. */
export interface ConfigurationOffer {
  readonly revision: number;
  readonly shards: readonly ShardReference[];
}

/** An offer of a peer, and a way to read its shards over the link. */
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
  /** Takes the next reply of the peer; there is one question at a time. */
  waiting: ((frame: NodeFrame) => void) | undefined;
}

/** Time for a peer to answer one question. */
const ANSWER_LIMIT_MS = 500;

/** Asks other nodes for their configuration, and answers when they ask, so that it outlasts the store. */
export class ConfigurationExchange {
  private readonly peers = new Map<Link, Peer>();

  private constructor(private readonly opts: ConfigurationExchangeOptions) {}

  /** Makes an exchange without peers. */
  static create(opts: ConfigurationExchangeOptions): ConfigurationExchange {
    return new ConfigurationExchange(opts);
  }

  /** A link has opened. */
  addLink(link: Link): void {
    this.peers.set(link, { link, waiting: undefined });
  }

  /** A link has ended. */
  removeLink(link: Link): void {
    this.peers.delete(link);
  }

  /** Takes a frame: answers a question, or hands on an answer. */
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
        this.peers.get(link)?.waiting?.(frame);
        break;
      default:
    }
  }

  /** Asks every peer for its offer; those that do not answer in time are left out. */
  async requestOffers(): Promise<readonly PeerOffer[]> {
    const answers = await Promise.all([...this.peers.values()].map((peer) => this.askOffer(peer)));
    return answers.flatMap((answer) => answer ?? []);
  }

  private async askOffer(peer: Peer): Promise<PeerOffer | undefined> {
    const answer = await this.ask(peer, { kind: 'offer-ask' });
    if (answer?.kind !== 'offer') {
      return undefined;
    }
    const { revision, shards } = answer;
    return { revision, shards, readShards: (names) => this.readShards(peer, names) };
  }

  /** One shard after the other keeps frames and memory bounded. */
  private async readShards(
    peer: Peer,
    names: readonly ShardReference[],
  ): Promise<Result<readonly RuleShard[], GalenatillerError>> {
    const shards: RuleShard[] = [];
    for (const shard of names) {
      const answer = await this.ask(peer, { kind: 'shard-ask', shard });
      if (answer?.kind !== 'shard' || !answer.shard) {
        const detail = `a peer has no shard ${shard.index}`;
        return Result.err(GalenatillerError.create({ name: 'link-lost', detail }));
      }
      shards.push(answer.shard);
    }
    return Result.ok(shards);
  }

  private ask(peer: Peer, question: NodeFrame): Promise<NodeFrame | undefined> {
    return new Promise((resolve) => {
      const asked = peer;
      const finish = (answer: NodeFrame | undefined): void => {
        cancel();
        asked.waiting = undefined;
        resolve(answer);
      };
      const cancel = this.opts.timer.after({
        delayMs: ANSWER_LIMIT_MS,
        notify: () => finish(undefined),
      });
      asked.waiting = finish;
      if (!peer.link.send(question)) {
        finish(undefined);
      }
    });
  }
}
