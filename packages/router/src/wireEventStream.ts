/** Cuts an event stream (text/event-stream) into whole events without changing a byte. */

/** One event with the blank line that ends it. */
export interface CompleteEvent {
  readonly bytes: Buffer;
  /** Empty when the event has none. */
  readonly id: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** Holds the bytes of an event until it is whole. */
export class EventSplitter {
  private held: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Makes a cutter at the start of a stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether the stream stands between two events. */
  get isBetweenEvents(): boolean {
    return this.held.length === 0;
  }

  /** Takes bytes and gives the events that they complete. */
  push(chunk: Buffer): readonly CompleteEvent[] {
    const bytes = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const events: CompleteEvent[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.held = bytes.subarray(start);
    return events;
  }
}

/** Position after the blank line that ends the event at `start`; 0 when it is not there yet. */
function endOfEvent(bytes: Buffer, start: number): number {
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

function idOf(event: Buffer): string {
  return ID_LINE.exec(event.toString('latin1'))?.[1]?.trimEnd() ?? '';
}
