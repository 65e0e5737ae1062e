import type { StatsdMetrics } from '@galenatiller/metrics';
import type { NodeStatus } from '@galenatiller/operator';
import type { Timeline } from '@galenatiller/timeline';
import type { Cancel, TimerService } from '@galenatiller/timer';

/** Options of {@link scheduleGauges}. */
export interface ScheduleGaugesOptions {
  readonly timer: TimerService;
  readonly metrics: StatsdMetrics;
  readonly timeline: Timeline;
  readonly readStatus: () => NodeStatus;
}

/** Time between two sets of gauges. */
const GAUGE_INTERVAL_MS = 10_000;

/** Sends the gauges of a node again and again until cancelled. */
export function scheduleGauges(opts: ScheduleGaugesOptions): Cancel {
  return opts.timer.every({ intervalMs: GAUGE_INTERVAL_MS, notify: () => sendOnce(opts) });
}

function sendOnce({ metrics, timeline, readStatus }: ScheduleGaugesOptions): void {
  const { role, targets, links, configurationRevision } = readStatus();
  const tags = {};
  metrics.gauge({ name: 'configuration.revision', tags, value: configurationRevision });
  metrics.gauge({ name: 'process.memory', tags, value: process.memoryUsage.rss() });
  metrics.gauge({ name: 'timeline.dropped', tags, value: timeline.dropped });
  const openLinks = links.filter(({ state }) => state === 'open').length;
  metrics.gauge({ name: 'link.open', tags, value: openLinks });
  if (role === 'gate') {
    const inFlight = targets.reduce((sum, target) => sum + target.inFlight, 0);
    const queued = targets.reduce((sum, target) => sum + target.queued, 0);
    metrics.gauge({ name: 'target.in_flight', tags, value: inFlight });
    metrics.gauge({ name: 'target.queued', tags, value: queued });
  }
}
