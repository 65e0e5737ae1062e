/** Decodes the framing of server-sent events. */
import { MAX_EVENT_BYTES } from '@galenatiller/constants';
import { createParser } from 'eventsource-parser';

/**
 * Yields the data of each event of a server-sent event stream, in order. Throws when an event is too
 * long.
 */
export async function* readEventData(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, void> {
  const pending: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => pending.push(data) });
  const decoder = new TextDecoder();
  let bytesSinceEvent = 0;
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    bytesSinceEvent = pending.length > 0 ? 0 : bytesSinceEvent + bytes.length;
    if (bytesSinceEvent > MAX_EVENT_BYTES) {
      throw new Error(`an event has over ${MAX_EVENT_BYTES} bytes`);
    }
    yield* pending.splice(0);
  }
}
