import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { NodeFrame, RuleShard, ShardName } from './frames.js';
import type { Link } from './link.js';

/** What a node has in force, as it offers it to others. */
export interface ConfigurationOffer {
  readonly revision: number;
  readonly shards: readonly ShardName[];
}

/** An offer of a peer, and a way to read its shards over the link. */
export interface RemoteOffer extends ConfigurationOffer {
  readonly readShards: (
    shards: readonly ShardName[],
  ) => Promise<Result<readonly RuleShard[], GalenatillerError>>;
}

/** Options of {@link ConfigurationExchange.create}. */
export interface ConfigurationExchangeOptions {
  readonly timer: TimerService;
  readonly readOwn: () => ConfigurationOffer;
  readonly findShard: (shard: ShardName) => RuleShard | undefined;
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
  opened(link: Link): void {
    this.peers.set(link, { link, waiting: undefined });
  }

  /** A link has ended. */
  closed(link: Link): void {
    this.peers.delete(link);
  }

  /** Takes a frame: answers a question, or hands on an answer. */
  take(link: Link, frame: NodeFrame): void {
    switch (frame.kind) {
      case 'offer-ask':
        link.send({ kind: 'offer', ...this.opts.readOwn() });
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
  async readOffers(): Promise<readonly RemoteOffer[]> {
    const answers = await Promise.all([...this.peers.values()].map((peer) => this.askOffer(peer)));
    return answers.flatMap((answer) => answer ?? []);
  }

  private async askOffer(peer: Peer): Promise<RemoteOffer | undefined> {
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
    names: readonly ShardName[],
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
