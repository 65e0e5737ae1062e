import type { CrashNotice, NodeFrame, StoppedVersionNotice } from './frames.js';

/** A set to which items are only added; `merge` returns the items that were new. */
export interface GrowOnlySet<Item> {
  readonly all: () => readonly Item[];
  readonly merge: (items: readonly Item[]) => readonly Item[];
}

/** Options of {@link NodeGossip.create}. */
export interface NodeGossipOptions {
  readonly crashes: GrowOnlySet<CrashNotice>;
  readonly versions: GrowOnlySet<StoppedVersionNotice>;
  /** Sends a frame over all links of the node. */
  readonly sendToAll: (frame: NodeFrame) => void;
  /** Called with versions that were stopped, on this node or another. */
  readonly onVersionsStopped?: (notices: readonly StoppedVersionNotice[]) => void;
}

/** Spreads crashes and stopped versions to all nodes over the links, without the store. */
export class NodeGossip {
  private constructor(private readonly opts: NodeGossipOptions) {}

  /** Creates the gossip of a node. */
  static create(opts: NodeGossipOptions): NodeGossip {
    return new NodeGossip(opts);
  }

  /** The frames to send first to a new peer: everything this node knows. */
  initialFrames(): readonly NodeFrame[] {
    return [
      { kind: 'crashes', records: this.opts.crashes.all() },
      { kind: 'versions-stopped', notices: this.opts.versions.all() },
    ];
  }

  /** Merges a frame from a peer and forwards what was new to this node. */
  handleFrame(frame: NodeFrame): void {
    if (frame.kind === 'crashes') {
      this.shareCrashes(this.opts.crashes.merge(frame.records));
    }
    if (frame.kind === 'versions-stopped') {
      this.shareStoppedVersions(this.opts.versions.merge(frame.notices));
    }
  }

  /** Sends crashes to all peers. */
  shareCrashes(records: readonly CrashNotice[]): void {
    if (records.length > 0) {
      this.opts.sendToAll({ kind: 'crashes', records });
    }
  }

  /** Reports stopped versions and sends them to all peers. */
  shareStoppedVersions(notices: readonly StoppedVersionNotice[]): void {
    if (notices.length > 0) {
      this.opts.onVersionsStopped?.(notices);
      this.opts.sendToAll({ kind: 'versions-stopped', notices });
    }
  }
}
