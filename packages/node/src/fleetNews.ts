import type { CrashNotice, NodeFrame, VersionNotice } from './frames.js';

/** A set of facts that only grows; merging returns what was news. */
export interface FactSet<Fact> {
  readonly all: () => readonly Fact[];
  readonly merge: (facts: readonly Fact[]) => readonly Fact[];
}

/** Options of {@link FleetNews.create}. */
export interface FleetNewsOptions {
  readonly crashes: FactSet<CrashNotice>;
  readonly versions: FactSet<VersionNotice>;
  /** Sends a frame over every link of the node. */
  readonly sendToAll: (frame: NodeFrame) => void;
  /** Told of versions that were found bad, here or elsewhere. */
  readonly onVersionsStopped?: (notices: readonly VersionNotice[]) => void;
}

/** Floods facts that every node must know over the links, without the store. */
export class FleetNews {
  private constructor(private readonly opts: FleetNewsOptions) {}

  /** Makes the news of a node. */
  static create(opts: FleetNewsOptions): FleetNews {
    return new FleetNews(opts);
  }

  /** What a new peer must be told first. */
  greeting(): readonly NodeFrame[] {
    return [
      { kind: 'crashes', records: this.opts.crashes.all() },
      { kind: 'versions-stopped', notices: this.opts.versions.all() },
    ];
  }

  /** Takes a frame from a peer and passes on what is new to this node. */
  take(frame: NodeFrame): void {
    if (frame.kind === 'crashes') {
      this.shareCrashes(this.opts.crashes.merge(frame.records));
    }
    if (frame.kind === 'versions-stopped') {
      this.shareVersions(this.opts.versions.merge(frame.notices));
    }
  }

  /** Tells every peer of crashes. */
  shareCrashes(records: readonly CrashNotice[]): void {
    if (records.length > 0) {
      this.opts.sendToAll({ kind: 'crashes', records });
    }
  }

  /** Tells every peer of versions that were found bad. */
  shareVersions(notices: readonly VersionNotice[]): void {
    if (notices.length > 0) {
      this.opts.onVersionsStopped?.(notices);
      this.opts.sendToAll({ kind: 'versions-stopped', notices });
    }
  }
}
