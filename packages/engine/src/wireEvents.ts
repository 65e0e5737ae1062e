/** Decodes the framing of server-sent events. */
import { createParser } from 'eventsource-parser';

/** Yields the data of each event of a server-sent event stream, in order. */
export async function* readEventData(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, void> {
  const pending: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => pending.push(data) });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    yield* pending.splice(0);
  }
}
