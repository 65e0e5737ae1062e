import { createLogger } from '@galenatiller/logger';
import type { Cancel } from '@galenatiller/timer';

/** Header of a response: which copy of the store sent it, and the revision of that copy. */
export interface StoreHeader {
  /** Empty if the store sends none. */
  readonly clusterId: string;
  /** 0 if the response has none. */
  readonly revision: number;
}

/** What was known of the store when a call was sent. */
export interface EraMark {
  readonly number: number;
  readonly revision: number;
}

const log = createLogger('store');

/**
 * Notices that the store has come back from an older copy: its cluster id differs from the one seen
 * before, or a response has a lower revision than one that arrived before its call was sent. What
 * was written since the copy is lost, and its revisions and lease ids are given out again.
 */
export class RestoreDetector {
  private clusterId = '';

  private highestRevision = 0;

  private restoreCount = 0;

  private readonly subscribers = new Set<() => void>();

  private constructor() {}

  /** Creates the era of a store from which nothing has been read yet. */
  static create(): RestoreDetector {
    return new RestoreDetector();
  }

  /** Number of restores that were noticed. */
  get number(): number {
    return this.restoreCount;
  }

  /** What is known now; taken before a call is sent and passed to {@link observe} with its response. */
  mark(): EraMark {
    return { number: this.restoreCount, revision: this.highestRevision };
  }

  /** Takes the header of a response; false if it is from before a restore that is known already. */
  observe(header: StoreHeader, sentAt: EraMark): boolean {
    const isOtherCluster = header.clusterId !== '' && header.clusterId !== this.clusterId;
    const isBehind = header.revision > 0 && header.revision < sentAt.revision;
    if (sentAt.number !== this.restoreCount) {
      return !isOtherCluster;
    }
    if ((isOtherCluster && this.clusterId !== '') || isBehind) {
      this.beginEra(header);
      return true;
    }
    this.clusterId = header.clusterId === '' ? this.clusterId : header.clusterId;
    this.highestRevision = Math.max(this.highestRevision, header.revision);
    return true;
  }

  /** Calls `notify` after each restore that is noticed. */
  onRestored(notify: () => void): Cancel {
    this.subscribers.add(notify);
    return () => {
      this.subscribers.delete(notify);
    };
  }

  private beginEra(header: StoreHeader): void {
    const { clusterId, revision } = header;
    log({
      message: `The store has come back from an older copy: cluster ${clusterId} at revision ${revision}, before ${this.clusterId} at ${this.highestRevision}.`,
    });
    this.restoreCount += 1;
    this.clusterId = clusterId;
    this.highestRevision = revision;
    [...this.subscribers].forEach((notify) => notify());
  }
}
