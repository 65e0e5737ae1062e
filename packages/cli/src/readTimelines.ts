import type { TimelineResponse } from '@galenatiller/operator';
import { mergeTimelines } from '@galenatiller/timeline';
import type { HybridTimestamp, TimelineEvent } from '@galenatiller/types';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { TimelineReport } from './commandReport.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Which events are wanted; empty strings match all. */
export interface TimelineFilter {
  readonly requestId: string;
  readonly target: string;
  readonly zone: string;
}

/** Options of {@link readTimelines}. */
export interface ReadTimelinesOptions extends TimelineFilter {
  readonly platform: Platform;
  /** Latest stamp that is known of each node; only later events are wanted. */
  readonly lastTimestamps: ReadonlyMap<string, HybridTimestamp>;
}

/** Most events that one node is asked for. */
const MAX_EVENTS = 1_000;

const BEFORE_ALL: HybridTimestamp = { wallMs: 0, counter: 0 };

/** Asks every node for its events and brings them into one causal order. */
export async function readTimelines(
  opts: ReadTimelinesOptions,
): Promise<Result<TimelineReport, CommandFailure>> {
  const { platform, requestId, target, zone, lastTimestamps } = opts;
  const fleet = await queryHosts({
    fetchHosts: platform.fetchHosts,
    zone,
    queryHost: (host) => {
      const afterTimestamp = lastTimestamps.get(host.name) ?? BEFORE_ALL;
      return platform.fetchTimeline(host, {
        requestId,
        target,
        afterTimestamp,
        maxEvents: MAX_EVENTS,
      });
    },
  });
  if (fleet.isErr) {
    return fail(fleet.error, ['Not known: which nodes there are, and so what they did.']);
  }
  return Result.ok({
    command: 'timeline',
    events: mergeTimelines(fleet.value.map(eventsOf)),
    unknown: listHostErrors(fleet.value),
  });
}

function eventsOf({ response }: HostResponse<TimelineResponse>): readonly TimelineEvent[] {
  return response.isOk ? response.value.events : [];
}
