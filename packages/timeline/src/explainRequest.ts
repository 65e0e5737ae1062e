import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { describeEvent } from './describeEvent.js';
import { mergeTimelines } from './mergeTimelines.js';

const END_KINDS: readonly TimelineEventKind[] = [
  'request-answered',
  'request-refused',
  'request-cancelled',
];

interface Step {
  readonly durationMs: number;
  readonly before: TimelineEvent;
  readonly after: TimelineEvent;
}

/** Explains the events of one request in sentences, in causal order. */
export function explainRequest(events: readonly TimelineEvent[]): string[] {
  const ordered = mergeTimelines([events]);
  const [first] = ordered;
  if (!first) {
    return [
      'No event of the request is known: no node has seen it, or newer events have overwritten its events.',
    ];
  }
  const startMs = first.stamp.wallMs;
  return [
    ...ordered.map((event) => `+${event.stamp.wallMs - startMs} ms: ${describeEvent(event)}`),
    ...explainLongestStep(ordered),
    explainEnd(ordered, startMs),
  ];
}

function explainLongestStep(ordered: readonly TimelineEvent[]): string[] {
  const steps = ordered.slice(1).map((after, index): Step => {
    const before = ordered[index] ?? after;
    return { durationMs: after.stamp.wallMs - before.stamp.wallMs, before, after };
  });
  const [longest] = steps.sort((left, right) => right.durationMs - left.durationMs);
  if (!longest || longest.durationMs <= 0) {
    return [];
  }
  const { durationMs, before, after } = longest;
  return [
    `The longest step took ${durationMs} ms: from ${before.kind} at ${before.nodeName} to ${after.kind} at ${after.nodeName}.`,
  ];
}

function explainEnd(ordered: readonly TimelineEvent[], startMs: number): string {
  const end = ordered.filter((event) => END_KINDS.includes(event.kind)).pop();
  return end
    ? `The request ended after ${end.stamp.wallMs - startMs} ms with ${end.kind}.`
    : 'No end is recorded: the request is still running, or the node that handled it is gone.';
}
