import type { StoppedVersionNotice } from '@galenatiller/node';

/** Versions that were found to be bad. The gate refuses their work without asking the store. */
export class StoppedVersions {
  private readonly stopped = new Map<string, StoppedVersionNotice>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): StoppedVersions {
    return new StoppedVersions();
  }

  /** Notices of all versions that were found to be bad. */
  get notices(): readonly StoppedVersionNotice[] {
    return [...this.stopped.values()];
  }

  /** Merges notices and returns those that are new to this node. */
  merge(notices: readonly StoppedVersionNotice[]): readonly StoppedVersionNotice[] {
    const newNotices = notices.filter((notice) => !this.has(notice.targetGroup, notice.version));
    newNotices.forEach((notice) => {
      this.stopped.set(toKey(notice.targetGroup, notice.version), notice);
    });
    return newNotices;
  }

  /** Whether a version has been stopped. */
  has(targetGroup: string, version: string): boolean {
    return this.stopped.has(toKey(targetGroup, version));
  }
}

function toKey(targetGroup: string, version: string): string {
  return `${targetGroup}/${version}`;
}
