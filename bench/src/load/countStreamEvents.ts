/** Reads streams without parsing them, so that the load generator is not the bottleneck. */
import { type Dispatcher, request } from 'undici';

/** Options of {@link countStreamEvents}. */
export interface CountStreamEventsOptions {
  /** Full URL of the route or of the engine's completions. */
  readonly url: string;
  readonly organisation: string;
  readonly body: string;
  readonly dispatcher: Dispatcher;
  /** Called with the number of events in each chunk. */
  readonly onEvents: (events: number) => void;
}

const HTTP_OK = 200;
const LINE_FEED = 10;

/** Last event of a complete stream, of an engine as well as of an entry. */
const END_MARKER = 'data: [DONE]\n\n';

/** Reads one stream and counts its events; returns whether it was complete. */
export async function countStreamEvents(
  opts: CountStreamEventsOptions,
): Promise<'refused' | 'torn' | 'whole'> {
  const response = await request(opts.url, {
    method: 'POST',
    dispatcher: opts.dispatcher,
    headers: {
      authorization: `Bearer example-key-${opts.organisation}`,
      'content-type': 'application/json',
    },
    body: opts.body,
  });
  if (response.statusCode !== HTTP_OK) {
    await response.body.dump();
    return 'refused';
  }
  let tail: Buffer = Buffer.alloc(0);
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    opts.onEvents(countEventEnds(chunk));
    tail = Buffer.concat([tail, chunk]).subarray(-END_MARKER.length);
  }
  return tail.toString('utf8') === END_MARKER ? 'whole' : 'torn';
}

/** Counts the empty lines that end events, except for one that is split across two chunks. */
function countEventEnds(chunk: Buffer): number {
  let events = 0;
  for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, at + 1)) {
    events += chunk[at + 1] === LINE_FEED ? 1 : 0;
  }
  return events;
}
