import type { ResultMemory } from '@galenatiller/pool';
import type { PieceResult } from '@galenatiller/types';

import type { PeerRouters } from './peerRouters.js';
import type { SubmitPiece } from './runStages.js';
import type { ServiceOwners } from './serviceOwners.js';

/** Submits a piece to workers from this node; resolves to undefined when no worker took it and it is handed back. */
export type SubmitPieceLocally = (
  opts: Parameters<SubmitPiece>[0],
) => Promise<PieceResult | undefined>;

/** Options of {@link StageSubmitter.create}. */
export interface StageSubmitterOptions {
  readonly owners: Pick<ServiceOwners, 'findOwner'>;
  readonly peers: Pick<PeerRouters, 'find'>;
  /** Submits a piece to workers from this node; undefined when it is handed back. */
  readonly submitLocally: SubmitPieceLocally;
  readonly resultMemory: ResultMemory;
}

/**
 * Submits pieces to the owners of their services, so that the pieces of all routers share full batches.
 * A piece whose owner can't be reached is submitted from this node.
 */
export class StageSubmitter {
  /** Peers that have run pieces for this node, by the handle of the result. */
  private readonly ownersByHandle = new Map<string, string>();

  private constructor(private readonly opts: StageSubmitterOptions) {}

  /** Creates an instance without results. */
  static create(opts: StageSubmitterOptions): StageSubmitter {
    return new StageSubmitter(opts);
  }

  /** Submits a piece to the owner of its service, or from this node when the owner can't be reached. */
  readonly submit: SubmitPiece = async (opts) => {
    for (;;) {
      const owner = this.opts.owners.findOwner(opts.service);
      const peer = this.opts.peers.find(owner);
      const ordered = peer?.isOpen ? await peer.submitPiece(opts) : undefined;
      if (ordered) {
        return this.recordOwner(owner, ordered);
      }
      const result = await this.opts.submitLocally(opts);
      if (result) {
        return result;
      }
    }
  };

  /** Submits a piece of another router from this node, which passes it on when it is handed back. */
  readonly submitForPeer: SubmitPiece = async (opts) =>
    (await this.opts.submitLocally(opts)) ?? this.submit(opts);

  /** Frees results through the node that dispatched their pieces: the owner of the service, or this one. */
  free(handles: readonly string[]): void {
    const byPeer = new Map<string, string[]>();
    handles.forEach((handle) => {
      const peer = this.ownersByHandle.get(handle) ?? '';
      this.ownersByHandle.delete(handle);
      byPeer.set(peer, [...(byPeer.get(peer) ?? []), handle]);
    });
    byPeer.forEach((freed, peer) => {
      const isSent = this.opts.peers.find(peer)?.free(freed) ?? false;
      if (!isSent) {
        this.opts.resultMemory.free(freed);
      }
    });
  }

  private recordOwner(owner: string, result: PieceResult): PieceResult {
    if (result.kind === 'made') {
      this.ownersByHandle.set(result.handle, owner);
    }
    return result;
  }
}
