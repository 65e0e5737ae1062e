import type { TimerService } from '@galenatiller/timer';
import type { HybridTimestamp, TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { compareTimestamps } from './compareTimestamps.js';
import { HybridClock } from './hybridClock.js';

/** Maximum length of the detail of an event, in characters. */
export const MAX_DETAIL_LENGTH = 200;

/** Options of {@link Timeline.create}. */
export interface TimelineOptions {
  readonly nodeName: string;
  readonly timer: TimerService;
  /** Maximum number of events kept; new events overwrite the oldest ones. */
  readonly capacity: number;
}

/** An event to record; the timeline adds the timestamp and the node name. */
export interface RecordOptions {
  readonly kind: TimelineEventKind;
  /** Left out when the event concerns no request. */
  readonly requestId?: string;
  /** The target, route, stage, peer or revision that the event concerns. */
  readonly subject?: string;
  readonly detail?: string;
}

/** Selects events; an event must match every given field. */
export interface TimelineQuery {
  readonly requestId?: string;
  readonly subject?: string;
  readonly kinds?: readonly TimelineEventKind[];
  /** Only events after this timestamp. */
  readonly afterTimestamp?: HybridTimestamp;
}

/** The latest events of one process, in a ring buffer of fixed size. */
export class Timeline {
  /** Timestamps messages to other nodes and merges the timestamps of theirs. */
  readonly clock: HybridClock;

  private readonly ring: TimelineEvent[] = [];

  private recordedCount = 0;

  private constructor(private readonly opts: TimelineOptions) {
    this.clock = HybridClock.create({ timer: opts.timer });
  }

  /** Creates an empty timeline. */
  static create(opts: TimelineOptions): Timeline {
    return new Timeline(opts);
  }

  /** Number of events overwritten by later ones. */
  get dropped(): number {
    return this.recordedCount - this.ring.length;
  }

  /** Records one event. */
  record(opts: RecordOptions): void {
    const detail = opts.detail ?? '';
    this.ring[this.recordedCount % this.opts.capacity] = {
      stamp: this.clock.now(),
      nodeName: this.opts.nodeName,
      kind: opts.kind,
      requestId: opts.requestId ?? '',
      subject: opts.subject ?? '',
      detail: detail.length > MAX_DETAIL_LENGTH ? detail.slice(0, MAX_DETAIL_LENGTH) : detail,
    };
    this.recordedCount += 1;
  }

  /** Returns the matching events, oldest first. */
  query(query: TimelineQuery): readonly TimelineEvent[] {
    const oldestIndex = this.recordedCount % this.opts.capacity;
    const inOrder = [...this.ring.slice(oldestIndex), ...this.ring.slice(0, oldestIndex)];
    const events = this.dropped > 0 ? inOrder : this.ring;
    return events.filter((event) => matches(event, query));
  }
}

function matches(event: TimelineEvent, query: TimelineQuery): boolean {
  return (
    (query.requestId === undefined || event.requestId === query.requestId) &&
    (query.subject === undefined || event.subject === query.subject) &&
    (query.kinds === undefined || query.kinds.includes(event.kind)) &&
    (query.afterTimestamp === undefined || compareTimestamps(event.stamp, query.afterTimestamp) > 0)
  );
}
