import type { WindowCounts } from '@galenatiller/types';

/**
 * What has been decided on the reports of all windows, as it is stored. The counts of a window are fixed
 * by writing them here before they are first sent, and never change afterwards.
 */
export interface UsageLedger {
  /** Era of the store in which this was written. */
  readonly era: number;
  /** Windows up to and including this one are decided: fixed, or left out for good. */
  readonly through: number;
  /** Fixed reports that are not known to be accepted, oldest first. */
  readonly open: readonly WindowCounts[];
}

/** Whether two reports have the same counts; both are sorted by organisation. */
export function haveSameCounts(left: WindowCounts, right: WindowCounts): boolean {
  return (
    left.counts.length === right.counts.length &&
    left.counts.every(([name, requests], position) => {
      const [otherName, otherRequests] = right.counts[position] ?? [];
      return name === otherName && requests === otherRequests;
    })
  );
}
