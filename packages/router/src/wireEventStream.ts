/** Splits an event stream (text/event-stream) into complete events without changing a byte. */

import { MAX_EVENT_BYTES } from '@galenatiller/constants';

/** One event with the blank line that ends it. */
export interface CompleteEvent {
  readonly bytes: Buffer;
  /** Empty when the event has none. */
  readonly id: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a splitter at the start of a stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether the bytes so far end with a complete event. */
  get isBetweenEvents(): boolean {
    return this.buffered.length === 0;
  }

  /** Adds bytes and returns the events that they complete; throws when an event is too long. */
  push(chunk: Buffer): readonly CompleteEvent[] {
    const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: CompleteEvent[] = [];
    let start = 0;
    let end = findEventEnd(bytes, start);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: findEventId(event) });
      start = end;
      end = findEventEnd(bytes, start);
    }
    this.buffered = bytes.subarray(start);
    if (this.buffered.length > MAX_EVENT_BYTES) {
      throw new Error(`an event has over ${MAX_EVENT_BYTES} bytes`);
    }
    return events;
  }
}

/** Position after the blank line that ends the event at `start`; 0 when it has not come yet. */
function findEventEnd(bytes: Buffer, start: number): number {
  let lineStart = start;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) {
      return 0;
    }
    const isBlank =
      lineEnd === lineStart || (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank && lineStart > start) {
      return lineEnd + 1;
    }
    lineStart = lineEnd + 1;
  }
}

function findEventId(event: Buffer): string {
  return ID_LINE.exec(event.toString('latin1'))?.[1]?.trimEnd() ?? '';
}
