import type { StoppedVersionNotice } from '@galenatiller/node';

/** Versions that were found bad; a gate refuses their work without waiting for the store. */
export class StoppedVersions {
  private readonly stopped = new Map<string, StoppedVersionNotice>();

  private constructor() {}

  /** Makes an empty set. */
  static create(): StoppedVersions {
    return new StoppedVersions();
  }

  /** Every version that was found bad. */
  get notices(): readonly StoppedVersionNotice[] {
    return [...this.stopped.values()];
  }

  /** Takes in notices and returns those that were news. */
  merge(notices: readonly StoppedVersionNotice[]): readonly StoppedVersionNotice[] {
    const news = notices.filter((notice) => !this.has(notice.targetGroup, notice.version));
    news.forEach((notice) => {
      this.stopped.set(keyOf(notice.targetGroup, notice.version), notice);
    });
    return news;
  }

  /** Whether a version takes no work. */
  has(targetGroup: string, version: string): boolean {
    return this.stopped.has(keyOf(targetGroup, version));
  }
}

function keyOf(targetGroup: string, version: string): string {
  return `${targetGroup}/${version}`;
}
