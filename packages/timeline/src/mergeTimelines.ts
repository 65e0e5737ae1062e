import type { TimelineEvent } from '@galenatiller/types';

import { compareTimestamps } from './compareTimestamps.js';

/** Merges the events of several nodes in causal order, without duplicates. */
export function mergeTimelines(
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  return lists
    .flat()
    .sort(compareEvents)
    .filter((event, index, all) => {
      const before = all[index - 1];
      return !before || compareEvents(before, event) !== 0;
    });
}

/** A node never uses a timestamp twice, so node name and timestamp identify an event. */
function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return compareTimestamps(left.stamp, right.stamp) || compareText(left.nodeName, right.nodeName);
}

function compareText(left: string, right: string): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}
