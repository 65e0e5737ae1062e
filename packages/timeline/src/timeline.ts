import type { TimerService } from '@galenatiller/timer';
import type { HybridTimestamp, TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { compareTimestamps } from './compareTimestamps.js';
import { HybridClock } from './hybridClock.js';

/** Longest detail of an event, in characters. */
export const MAX_DETAIL_LENGTH = 200;

/** Options of {@link Timeline.create}. */
export interface TimelineOptions {
  readonly nodeName: string;
  readonly timer: TimerService;
  /** Most events that are kept; the oldest give way. */
  readonly capacity: number;
}

/** An event to record; the time line adds the stamp and the node. */
export interface RecordOptions {
  readonly kind: TimelineEventKind;
  /** Empty when no request is concerned. */
  readonly requestId?: string;
  /** The target, route, stage, peer or revision that the event is about. */
  readonly subject?: string;
  readonly detail?: string;
}

/** Which events to return; each given field narrows the choice. */
export interface TimelineQuery {
  readonly requestId?: string;
  readonly subject?: string;
  readonly kinds?: readonly TimelineEventKind[];
  /** Only events after this stamp. */
  readonly afterTimestamp?: HybridTimestamp;
}

/** The latest events of one process, in a ring of fixed size. */
export class Timeline {
  /** The clock that stamps messages to other nodes and merges theirs. */
  readonly clock: HybridClock;

  private readonly ring: TimelineEvent[] = [];

  private recorded = 0;

  private constructor(private readonly opts: TimelineOptions) {
    this.clock = HybridClock.create({ timer: opts.timer });
  }

  /** Makes an empty time line. */
  static create(opts: TimelineOptions): Timeline {
    return new Timeline(opts);
  }

  /** Number of events that gave way to later ones. */
  get dropped(): number {
    return this.recorded - this.ring.length;
  }

  /** Records one event. */
  record(opts: RecordOptions): void {
    const detail = opts.detail ?? '';
    this.ring[this.recorded % this.opts.capacity] = {
      stamp: this.clock.now(),
      nodeName: this.opts.nodeName,
      kind: opts.kind,
      requestId: opts.requestId ?? '',
      subject: opts.subject ?? '',
      detail: detail.length > MAX_DETAIL_LENGTH ? detail.slice(0, MAX_DETAIL_LENGTH) : detail,
    };
    this.recorded += 1;
  }

  /** The events that a query asks for, oldest first. */
  query(query: TimelineQuery): readonly TimelineEvent[] {
    const oldest = this.recorded % this.opts.capacity;
    const inOrder = [...this.ring.slice(oldest), ...this.ring.slice(0, oldest)];
    const events = this.dropped > 0 ? inOrder : this.ring;
    return events.filter((event) => isWanted(event, query));
  }
}

function isWanted(event: TimelineEvent, query: TimelineQuery): boolean {
  return (
    (query.requestId === undefined || event.requestId === query.requestId) &&
    (query.subject === undefined || event.subject === query.subject) &&
    (query.kinds === undefined || query.kinds.includes(event.kind)) &&
    (query.afterTimestamp === undefined || compareTimestamps(event.stamp, query.afterTimestamp) > 0)
  );
}
