import type { ResultMemory } from '@galenatiller/pool';
import type { PieceResult } from '@galenatiller/types';

import type { PeerRouters } from './peerRouters.js';
import type { SubmitPiece } from './runStages.js';
import type { ServiceOwners } from './serviceOwners.js';

/** Options of {@link StageSubmitter.create}. */
export interface StageSubmitterOptions {
  readonly owners: Pick<ServiceOwners, 'findOwner'>;
  readonly peers: Pick<PeerRouters, 'find'>;
  /** Submits a piece to workers from this node. */
  readonly submitLocally: SubmitPiece;
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
    const owner = this.opts.owners.findOwner(opts.service);
    const peer = this.opts.peers.find(owner);
    if (!peer?.isOpen) {
      return this.opts.submitLocally(opts);
    }
    const result = await peer.submitPiece(opts);
    if (result === undefined) {
      return this.opts.submitLocally(opts);
    }
    return this.recordOwner(owner, result);
  };

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
