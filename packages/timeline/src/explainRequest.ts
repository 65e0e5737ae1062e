import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { describeEvent } from './describeEvent.js';
import { mergeTimelines } from './mergeTimelines.js';

const ENDS: readonly TimelineEventKind[] = [
  'request-answered',
  'request-refused',
  'request-cancelled',
];

interface Wait {
  readonly lastedMs: number;
  readonly before: TimelineEvent;
  readonly after: TimelineEvent;
}

/** Explains the events of one request in plain sentences, in causal order. */
export function explainRequest(events: readonly TimelineEvent[]): string[] {
  const ordered = mergeTimelines([events]);
  const [first] = ordered;
  if (!first) {
    return ['No event of the request is known: no node has seen it, or newer events replaced it.'];
  }
  const startMs = first.stamp.wallMs;
  return [
    ...ordered.map((event) => `+${event.stamp.wallMs - startMs} ms: ${describeEvent(event)}`),
    ...explainWait(ordered),
    explainEnd(ordered, startMs),
  ];
}

function explainWait(ordered: readonly TimelineEvent[]): string[] {
  const waits = ordered.slice(1).map((after, index): Wait => {
    const before = ordered[index] ?? after;
    return { lastedMs: after.stamp.wallMs - before.stamp.wallMs, before, after };
  });
  const [longest] = waits.sort((left, right) => right.lastedMs - left.lastedMs);
  if (!longest || longest.lastedMs <= 0) {
    return [];
  }
  const { lastedMs, before, after } = longest;
  return [
    `The longest step took ${lastedMs} ms: from ${before.kind} at ${before.nodeName} to ${after.kind} at ${after.nodeName}.`,
  ];
}

function explainEnd(ordered: readonly TimelineEvent[], startMs: number): string {
  const end = ordered.filter((event) => ENDS.includes(event.kind)).pop();
  return end
    ? `The request ended after ${end.stamp.wallMs - startMs} ms with ${end.kind}.`
    : 'No end is recorded: the request runs still, or the node that held it is gone.';
}
