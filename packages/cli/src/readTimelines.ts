import type { TimelineResponse } from '@galenatiller/operator';
import { mergeTimelines } from '@galenatiller/timeline';
import type { HybridTimestamp, TimelineEvent } from '@galenatiller/types';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { TimelineReport } from './commandReport.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Filter for events; empty strings match all. */
export interface TimelineFilter {
  readonly requestId: string;
  readonly target: string;
  readonly zone: string;
}

/** Options of {@link readTimelines}. */
export interface ReadTimelinesOptions extends TimelineFilter {
  readonly platform: Platform;
  /** Timestamp of the last event received from each node; only later events are returned. */
  readonly lastTimestamps: ReadonlyMap<string, HybridTimestamp>;
}

/** Maximum number of events requested from one node. */
const MAX_EVENTS = 1_000;

/** Earlier than any event. */
const MIN_TIMESTAMP: HybridTimestamp = { wallMs: 0, counter: 0 };

/** Queries all nodes for their events and merges them in causal order. */
export async function readTimelines(
  opts: ReadTimelinesOptions,
): Promise<Result<TimelineReport, CommandFailure>> {
  const { platform, requestId, target, zone, lastTimestamps } = opts;
  const nodes = await queryHosts({
    fetchHosts: platform.fetchHosts,
    zone,
    queryHost: (host) => {
      const afterTimestamp = lastTimestamps.get(host.name) ?? MIN_TIMESTAMP;
      return platform.fetchTimeline(host, {
        requestId,
        target,
        afterTimestamp,
        maxEvents: MAX_EVENTS,
      });
    },
  });
  if (nodes.isErr) {
    return fail(nodes.error, [
      'Not known: which nodes there are, and so which events they recorded.',
    ]);
  }
  return Result.ok({
    command: 'timeline',
    events: mergeTimelines(nodes.value.map(listEvents)),
    unknown: listHostErrors(nodes.value),
  });
}

function listEvents({ response }: HostResponse<TimelineResponse>): readonly TimelineEvent[] {
  return response.isOk ? response.value.events : [];
}
