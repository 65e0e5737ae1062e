import type { CrashEvidence, SharedItems } from '@galenatiller/types';
import { chunksOf } from 'fp-ts/lib/ReadonlyArray.js';

import type { CrashesFrame, CrashNotice, NodeFrame, StoppedVersionNotice } from './frames.js';

/** Options of {@link NodeGossip.create}. */
export interface NodeGossipOptions {
  readonly crashes: SharedItems<CrashNotice>;
  readonly evidence: SharedItems<CrashEvidence>;
  readonly versions: SharedItems<StoppedVersionNotice>;
  /** Sends a frame over all links of the node. */
  readonly sendToAll: (frame: NodeFrame) => void;
  /** Called with versions that were stopped, on this node or another. */
  readonly onVersionsStopped?: (notices: readonly StoppedVersionNotice[]) => void;
}

/** Keeps a frame far below the size limit of a link. */
const MAX_EVIDENCE_PER_FRAME = 1_000;

/** Spreads crashes, evidence on prompts and stopped versions over the links, without the store. */
export class NodeGossip {
  private constructor(private readonly opts: NodeGossipOptions) {}

  /** Creates the gossip of a node. */
  static create(opts: NodeGossipOptions): NodeGossip {
    return new NodeGossip(opts);
  }

  /** The frames to send first to a new peer: everything this node knows. */
  initialFrames(): readonly NodeFrame[] {
    return [
      { kind: 'crashes', records: this.opts.crashes.all(), evidence: [] },
      ...toEvidenceFrames(this.opts.evidence.all()),
      { kind: 'versions-stopped', notices: this.opts.versions.all() },
    ];
  }

  /** Merges a frame from a peer and forwards what was new to this node. */
  handleFrame(frame: NodeFrame): void {
    if (frame.kind === 'crashes') {
      this.shareCrashes(this.opts.crashes.merge(frame.records));
      this.shareEvidence(this.opts.evidence.merge(frame.evidence));
    }
    if (frame.kind === 'versions-stopped') {
      this.shareStoppedVersions(this.opts.versions.merge(frame.notices));
    }
  }

  /** Sends crashes to all peers. */
  shareCrashes(records: readonly CrashNotice[]): void {
    if (records.length > 0) {
      this.opts.sendToAll({ kind: 'crashes', records, evidence: [] });
    }
  }

  /** Sends evidence on prompts to all peers. */
  shareEvidence(evidence: readonly CrashEvidence[]): void {
    toEvidenceFrames(evidence).forEach((frame) => this.opts.sendToAll(frame));
  }

  /** Reports stopped versions and sends them to all peers. */
  shareStoppedVersions(notices: readonly StoppedVersionNotice[]): void {
    if (notices.length > 0) {
      this.opts.onVersionsStopped?.(notices);
      this.opts.sendToAll({ kind: 'versions-stopped', notices });
    }
  }
}

function toEvidenceFrames(evidence: readonly CrashEvidence[]): readonly CrashesFrame[] {
  return chunksOf(MAX_EVIDENCE_PER_FRAME)(evidence).map((chunk) => ({
    kind: 'crashes',
    records: [],
    evidence: chunk,
  }));
}
