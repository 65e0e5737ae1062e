import { createLogger } from '@galenatiller/logger';
import { type NodeStatus, type OperatorServer, startOperatorServer } from '@galenatiller/operator';
import type { NodeSettings } from '@galenatiller/settings';
import type { Timeline } from '@galenatiller/timeline';
import type { TimelineEvent } from '@galenatiller/types';

/** Options of {@link startNodeOperatorServer}. */
export interface StartNodeOperatorServerOptions {
  readonly settings: NodeSettings;
  readonly timeline: Timeline;
  readonly readStatus: () => NodeStatus;
}

/** Serves operators on a node from its status and its time line. */
export function startNodeOperatorServer(
  opts: StartNodeOperatorServerOptions,
): Promise<OperatorServer> {
  const { settings, timeline } = opts;
  return startOperatorServer({
    address: settings.operatorAddress,
    port: settings.operatorPort,
    keys: settings.operatorKeys,
    logger: createLogger('operator'),
    readStatus: opts.readStatus,
    readTimeline: ({ requestId, target, afterTimestamp, maxEvents }) => {
      const events = timeline.query({
        ...(requestId === '' ? {} : { requestId }),
        ...(target === '' ? {} : { subject: target }),
        afterTimestamp,
      });
      return { events: newest(events, maxEvents) };
    },
    explain: (requestId) => ({ requestId, events: timeline.query({ requestId }) }),
  });
}

function newest(events: readonly TimelineEvent[], count: number): readonly TimelineEvent[] {
  return events.slice(Math.max(0, events.length - count));
}
