import type { SenderState } from './ports.js';

/** Where a body ended: a stream that is whole ends between events, or has none. */
export type EndPosition = 'no-event' | 'between-events' | 'within-event' | 'no-stream';

/** What was seen of a body. */
export interface BodyReport {
  /** `read-failed` includes resets, deadlines and callers that left. */
  readonly end: 'in-order' | 'read-failed';
  readonly bytes: number;
  readonly events: number;
  readonly position: EndPosition;
  readonly sender: SenderState | 'not-asked';
}

/** Collects what is seen of a body, for the decision on its end and for the logs. */
export class BodyTally {
  private bytes = 0;

  private events = 0;

  private isWithinEvent = false;

  private end: BodyReport['end'] = 'read-failed';

  private sender: BodyReport['sender'] = 'not-asked';

  private constructor(private readonly opts: { readonly isStream: boolean }) {}

  /** Creates the tally of a body of which nothing has come. */
  static create(opts: { readonly isStream: boolean }): BodyTally {
    return new BodyTally(opts);
  }

  /** Where the body has come to. */
  get position(): EndPosition {
    if (!this.opts.isStream) {
      return 'no-stream';
    }
    if (this.isWithinEvent) {
      return 'within-event';
    }
    return this.events === 0 ? 'no-event' : 'between-events';
  }

  /** What was seen so far. */
  get report(): BodyReport {
    const { end, bytes, events, position, sender } = this;
    return { end, bytes, events, position, sender };
  }

  /** Records a chunk, the number of events that it completes, and whether it leaves a part of one. */
  recordChunk(chunk: {
    readonly bytes: number;
    readonly events: number;
    readonly isWithinEvent: boolean;
  }): void {
    this.bytes += chunk.bytes;
    this.events += chunk.events;
    this.isWithinEvent = chunk.isWithinEvent;
  }

  /** Records that the body ended without an error. */
  recordEnd(): void {
    this.end = 'in-order';
  }

  /** Records what is known of the sender after the end. */
  recordSender(sender: SenderState): void {
    this.sender = sender;
  }
}
