/** Splits an event stream (text/event-stream) into complete events without changing a byte. */

import { MAX_EVENT_BYTES } from '@galenatiller/constants';

/**
 * Complete events that came together. An object for each event would take ten times its bytes, which adds up
 * over many streams that nobody reads.
 */
export interface EventPart {
  readonly events: number;
  /** Id of the last event that has one. */
  readonly lastEventId: string | undefined;
  /** Id of the first event that has one. */
  readonly findFirstId: () => string | undefined;
  readonly bytes: Buffer;
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

  /** Adds bytes and returns the events that they complete, if any; throws when an event is too long. */
  push(chunk: Buffer): EventPart | undefined {
    const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const ends: number[] = [];
    for (let end = findEventEnd(bytes, 0); end > 0; end = findEventEnd(bytes, end)) {
      ends.push(end);
    }
    const restAt = ends.at(-1) ?? 0;
    // A part of the chunk would keep all of it in memory.
    this.buffered = restAt === 0 ? bytes : Buffer.from(bytes.subarray(restAt));
    if (this.buffered.length > MAX_EVENT_BYTES) {
      throw new Error(`an event has over ${MAX_EVENT_BYTES} bytes`);
    }
    return restAt === 0 ? undefined : createPart(bytes.subarray(0, restAt), ends);
  }
}

function createPart(bytes: Buffer, ends: readonly number[]): EventPart {
  const findId = (index: number): string =>
    findEventId(bytes.subarray(ends[index - 1] ?? 0, ends[index]));
  const lastWithId = ends.findLastIndex((_end, index) => findId(index) !== '');
  return {
    events: ends.length,
    lastEventId: lastWithId < 0 ? undefined : findId(lastWithId),
    findFirstId: () => ends.map((_end, index) => findId(index)).find((id) => id !== ''),
    bytes,
  };
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
