import { CallerGuard, computeCallerFigures, STRICT_PIPELINE_LIMITS } from '@galenatiller/caller';
import { createLogger } from '@galenatiller/logger';
import { type NodeStatus, type OperatorServer, startOperatorServer } from '@galenatiller/operator';
import type { NodeSettings } from '@galenatiller/settings';
import type { Timeline } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { TimelineEvent } from '@galenatiller/types';

/** Options of {@link startNodeOperatorServer}. */
export interface StartNodeOperatorServerOptions {
  readonly settings: NodeSettings;
  readonly timeline: Timeline;
  readonly timer: TimerService;
  readonly readStatus: () => NodeStatus;
}

/** Connections of operators at a time. */
const MAX_CONNECTIONS = 32;

/** The servers of operators use this part of the memory for callers at most. */
const BASE_MEMORY_MB = 176;

/** Starts the operator server of a node, which reports its status and its timeline. */
export function startNodeOperatorServer(
  opts: StartNodeOperatorServerOptions,
): Promise<OperatorServer> {
  const { settings, timeline, timer } = opts;
  const guard = CallerGuard.create({
    timer,
    figures: {
      ...computeCallerFigures({ ...settings, baseMb: BASE_MEMORY_MB }),
      maxConnections: MAX_CONNECTIONS,
    },
    pipeline: STRICT_PIPELINE_LIMITS,
    onLimit: () => {},
  });
  return startOperatorServer({
    address: settings.operatorAddress,
    port: settings.operatorPort,
    keys: settings.operatorKeys,
    logger: createLogger('operator'),
    limitClients: (server) => {
      guard.watch(server);
      server.once('close', guard.start());
    },
    readStatus: opts.readStatus,
    readTimeline: ({ requestId, target, afterTimestamp, maxEvents }) => {
      const events = timeline.query({
        ...(requestId === '' ? {} : { requestId }),
        ...(target === '' ? {} : { subject: target }),
        afterTimestamp,
      });
      return { events: selectNewest(events, maxEvents) };
    },
    explain: (requestId) => ({ requestId, events: timeline.query({ requestId }) }),
  });
}

function selectNewest(
  events: readonly TimelineEvent[],
  maxEvents: number,
): readonly TimelineEvent[] {
  return events.slice(Math.max(0, events.length - maxEvents));
}
