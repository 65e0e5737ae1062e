import type { ResultMemory } from '@galenatiller/pool';
import type { TimerService } from '@galenatiller/timer';
import type { PieceResult, StagePiece } from '@galenatiller/types';

import type { PeerRouters } from '../peerRouters.js';
import type { SubmitPiece } from '../runStages.js';
import type { ServiceOwners } from './serviceOwners.js';

/** A piece and the shard that it is submitted to. */
export interface ShardSubmission {
  readonly service: string;
  /** Key of the shard. */
  readonly shard: string;
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  /** Called once a worker has surely fetched the inputs of the piece; may never be called. */
  readonly onBegun?: (() => void) | undefined;
}

/** Submits a piece to workers from this node; resolves to undefined when no worker took it and it is handed back. */
export type SubmitPieceLocally = (opts: ShardSubmission) => Promise<PieceResult | undefined>;

/** Options of {@link StageSubmitter.create}. */
export interface StageSubmitterOptions {
  readonly timer: TimerService;
  readonly selfName: string;
  readonly owners: Pick<ServiceOwners, 'findCandidates'>;
  readonly peers: Pick<PeerRouters, 'find' | 'isIsolated'>;
  /** Key of the shard that a piece should go to now. */
  readonly chooseShard: (opts: Parameters<SubmitPiece>[0]) => string;
  /** Whether this node has CPU time for one more piece. */
  readonly canAcceptLocally: () => boolean;
  /** Submits a piece to workers from this node; undefined when it is handed back. */
  readonly submitLocally: SubmitPieceLocally;
  readonly resultMemory: ResultMemory;
}

/** How often it is checked whether a router accepts a piece that none accepted before. */
const RECHECK_INTERVAL_MS = 40;

/** Time in which links that were all reset open again, or a router catches up with its work. */
const MAX_WAIT_MS = 700;

const BUSY: PieceResult = { kind: 'failed', reason: 'busy' };

/**
 * Submits pieces to the owners of their shards, so that the pieces of all routers share full batches.
 * While an owner accepts none, they go to one of its few deputies, the same for all routers, and fail
 * as busy when none accepts them: if every router submitted its pieces by itself, the workers would
 * mostly be found full. Only a router that reaches no other one does that.
 */
export class StageSubmitter {
  /** Peers that have run pieces for this node, by the handle of the result. */
  private readonly ownersByHandle = new Map<string, string>();

  private constructor(private readonly opts: StageSubmitterOptions) {}

  /** Creates an instance without results. */
  static create(opts: StageSubmitterOptions): StageSubmitter {
    return new StageSubmitter(opts);
  }

  /** Submits a piece to the owner of its shard or a deputy. */
  readonly submit: SubmitPiece = async (opts) => {
    const { timer } = this.opts;
    let waitUntilMs = timer.nowMs() + MAX_WAIT_MS;
    for (;;) {
      const submission = { ...opts, shard: this.opts.chooseShard(opts) };
      const accepting = this.findAccepting(submission.shard);
      if (accepting !== undefined) {
        const result = await this.submitTo(accepting, submission);
        if (result) {
          return result;
        }
        waitUntilMs = timer.nowMs() + MAX_WAIT_MS;
        continue;
      }
      if (timer.nowMs() >= waitUntilMs) {
        const result = this.opts.peers.isIsolated()
          ? await this.opts.submitLocally(submission)
          : BUSY;
        if (result) {
          return result;
        }
      }
      await timer.sleep({ delayMs: RECHECK_INTERVAL_MS, signal: opts.signal });
      if (opts.signal.aborted) {
        return LATE;
      }
    }
  };

  /** Submits a piece of another router from this node, which passes it on when it is handed back. */
  readonly submitForPeer = async (submission: ShardSubmission): Promise<PieceResult> =>
    (await this.opts.submitLocally(submission)) ?? this.submit(submission);

  /** Frees results through the node that dispatched their pieces: the owner of the shard, or this one. */
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

  /** Name of the first candidate that accepts a piece now; undefined when none does. */
  private findAccepting(shard: string): string | undefined {
    const { selfName, owners, peers } = this.opts;
    const candidates = owners.findCandidates(shard);
    return candidates.find((name) =>
      name === selfName
        ? candidates.length === 1 || this.opts.canAcceptLocally()
        : (peers.find(name)?.canAccept ?? false),
    );
  }

  private async submitTo(
    name: string,
    submission: ShardSubmission,
  ): Promise<PieceResult | undefined> {
    if (name === this.opts.selfName) {
      return this.opts.submitLocally(submission);
    }
    const result = await this.opts.peers.find(name)?.submitPiece(submission);
    if (result?.kind === 'made') {
      this.ownersByHandle.set(result.handle, name);
    }
    return result;
  }
}

const LATE: PieceResult = { kind: 'failed', reason: 'late' };
