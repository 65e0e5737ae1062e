import type { NodeSettings } from '@galenatiller/settings';
import { Timeline } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';

/** Maximum number of events that a node keeps; at about 300 bytes each, this bounds their memory. */
const MAX_TIMELINE_EVENTS = 20_000;

/** Creates the timeline of a node and records the start of its process. */
export function createTimeline(opts: {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
}): Timeline {
  const { settings, timer } = opts;
  const timeline = Timeline.create({
    nodeName: settings.nodeName,
    timer,
    capacity: MAX_TIMELINE_EVENTS,
  });
  timeline.record({ kind: 'process-started', subject: settings.role });
  return timeline;
}
