import type { ResultMemory } from '@galenatiller/pool';
import { type PeerEvent, PeerRouter } from '@galenatiller/routerLink';
import type { Member } from '@galenatiller/store';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { PieceResult } from '@galenatiller/types';

import type { SubmitPiece } from './runStages.js';

/** Options of {@link StageOwners.create}. */
export interface StageOwnersOptions {
  readonly timer: TimerService;
  readonly selfName: string;
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
  /** Hands a piece to workers from this node. */
  readonly submitLocally: SubmitPiece;
  readonly resultMemory: ResultMemory;
  readonly onLinkEvent: (event: PeerEvent) => void;
  /** Each link to a peer has one task of this group. */
  readonly tasks: TaskGroup;
}

interface Peer {
  readonly router: PeerRouter;
  readonly address: string;
  readonly stop: AbortController;
}

/**
 * Each stage service has one live router as its owner, by rendezvous hash, so that pieces of all
 * routers meet in full calls. A piece whose owner can't be reached is made from here.
 */
export class StageOwners {
  private readonly peers = new Map<string, Peer>();

  private memberNames: readonly string[] = [];

  /** Peers that had results made for this node, by handle. */
  private readonly makers = new Map<string, string>();

  private constructor(private readonly opts: StageOwnersOptions) {}

  /** Makes owners of a fleet of which only this node is known. */
  static create(opts: StageOwnersOptions): StageOwners {
    return new StageOwners(opts);
  }

  /** Whether this node owns a service. */
  isOwner(service: string): boolean {
    return this.ownerOf(service) === this.opts.selfName;
  }

  /** Takes the live routers; links to new ones are opened, those to others closed. */
  setMembers(members: readonly Member[]): void {
    const { selfName } = this.opts;
    this.memberNames = members.map(({ name }) => name);
    const others = members.filter(({ name }) => name !== selfName);
    this.peers.forEach(({ address, stop }, name) => {
      if (!others.some((other) => other.name === name && other.address === address)) {
        this.peers.delete(name);
        stop.abort();
      }
    });
    others.filter(({ name }) => !this.peers.has(name)).forEach((member) => this.openPeer(member));
  }

  /** Has a piece made by the owner of its service, or from here when the owner can't be reached. */
  readonly submit: SubmitPiece = async (opts) => {
    const owner = this.ownerOf(opts.service);
    const peer = this.peers.get(owner);
    if (!peer?.router.isOpen) {
      return this.opts.submitLocally(opts);
    }
    const result = await peer.router.order(opts);
    if (result === undefined) {
      return this.opts.submitLocally(opts);
    }
    return this.noteMaker(owner, result);
  };

  /** Frees results where their makers are known: at the peer that ordered them, or here. */
  giveUp(handles: readonly string[]): void {
    const byPeer = new Map<string, string[]>();
    handles.forEach((handle) => {
      const peer = this.makers.get(handle) ?? '';
      this.makers.delete(handle);
      byPeer.set(peer, [...(byPeer.get(peer) ?? []), handle]);
    });
    byPeer.forEach((given, peer) => {
      const isTold = this.peers.get(peer)?.router.free(given) ?? false;
      if (!isTold) {
        this.opts.resultMemory.free(given);
      }
    });
  }

  private noteMaker(owner: string, result: PieceResult): PieceResult {
    if (result.kind === 'made') {
      this.makers.set(result.handle, owner);
    }
    return result;
  }

  private ownerOf(service: string): string {
    const { hash, selfName } = this.opts;
    const ranked = this.memberNames
      .map((name) => ({ name, rank: hash(`${service} ${name}`) }))
      .sort((left, right) => right.rank - left.rank);
    return ranked[0]?.name ?? selfName;
  }

  private openPeer(member: Member): void {
    const { timer, selfName, onLinkEvent: onPeer, tasks } = this.opts;
    const { name: peerName, address } = member;
    const router = PeerRouter.create({ timer, selfName, peerName, address, onEvent: onPeer });
    const stop = new AbortController();
    this.peers.set(peerName, { router, address, stop });
    tasks.start(() => router.run({ signal: stop.signal }));
  }
}
