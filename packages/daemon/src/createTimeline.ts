import type { NodeSettings } from '@galenatiller/settings';
import { Timeline } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';

/** Events that a node keeps; at about 300 bytes each this bounds their memory. */
const TIMELINE_EVENTS = 20_000;

/** Makes the time line of a node. */
export function createTimeline(opts: {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
}): Timeline {
  const { settings, timer } = opts;
  const timeline = Timeline.create({
    nodeName: settings.nodeName,
    timer,
    capacity: TIMELINE_EVENTS,
  });
  timeline.record({ kind: 'process-started', subject: settings.role });
  return timeline;
}
