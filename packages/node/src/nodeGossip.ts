import type { CrashNotice, NodeFrame, StoppedVersionNotice } from './frames.js';

/** A set of facts that only grows; merging returns what was news. */
export interface GrowOnlySet<Fact> {
  readonly all: () => readonly Fact[];
  readonly merge: (facts: readonly Fact[]) => readonly Fact[];
}

/** Options of {@link NodeGossip.create}. */
export interface NodeGossipOptions {
  readonly crashes: GrowOnlySet<CrashNotice>;
  readonly versions: GrowOnlySet<StoppedVersionNotice>;
  /** Sends a frame over every link of the node. */
  readonly sendToAll: (frame: NodeFrame) => void;
  /** Told of versions that were found bad, here or elsewhere. */
  readonly onVersionsStopped?: (notices: readonly StoppedVersionNotice[]) => void;
}

/** Floods facts that every node must know over the links, without the store. */
export class NodeGossip {
  private constructor(private readonly opts: NodeGossipOptions) {}

  /** Makes the news of a node. */
  static create(opts: NodeGossipOptions): NodeGossip {
    return new NodeGossip(opts);
  }

  /** What a new peer must be told first. */
  initialFrames(): readonly NodeFrame[] {
    return [
      { kind: 'crashes', records: this.opts.crashes.all() },
      { kind: 'versions-stopped', notices: this.opts.versions.all() },
    ];
  }

  /** Takes a frame from a peer and passes on what is new to this node. */
  handleFrame(frame: NodeFrame): void {
    if (frame.kind === 'crashes') {
      this.shareCrashes(this.opts.crashes.merge(frame.records));
    }
    if (frame.kind === 'versions-stopped') {
      this.shareStoppedVersions(this.opts.versions.merge(frame.notices));
    }
  }

  /** Tells every peer of crashes. */
  shareCrashes(records: readonly CrashNotice[]): void {
    if (records.length > 0) {
      this.opts.sendToAll({ kind: 'crashes', records });
    }
  }

  /** Tells every peer of versions that were found bad. */
  shareStoppedVersions(notices: readonly StoppedVersionNotice[]): void {
    if (notices.length > 0) {
      this.opts.onVersionsStopped?.(notices);
      this.opts.sendToAll({ kind: 'versions-stopped', notices });
    }
  }
}
