/** A cheap reader of streams, for loads under which the generator must not be the bottleneck. */
import { type Dispatcher, request } from 'undici';

/** Options of {@link countStreamEvents}. */
export interface CountStreamEventsOptions {
  /** Whole URL of the route or of the engine's completions. */
  readonly url: string;
  readonly organisation: string;
  readonly body: string;
  readonly dispatcher: Dispatcher;
  /** Called with the events in each chunk as it comes. */
  readonly onEvents: (events: number) => void;
}

const HTTP_OK = 200;
const LINE_FEED = 10;

/** The last event of a whole stream, in both front ends. */
const END_MARKER = 'data: [DONE]\n\n';

/** Reads one stream and counts its events without parsing them; says whether it came whole. */
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
  let last: Buffer = Buffer.alloc(0);
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    opts.onEvents(countEventEnds(chunk));
    last = Buffer.concat([last, chunk]).subarray(-END_MARKER.length);
  }
  return last.toString('utf8') === END_MARKER ? 'whole' : 'torn';
}

/** Events end with an empty line; one that is cut between two chunks is not counted. */
function countEventEnds(chunk: Buffer): number {
  let events = 0;
  for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, at + 1)) {
    events += chunk[at + 1] === LINE_FEED ? 1 : 0;
  }
  return events;
}
