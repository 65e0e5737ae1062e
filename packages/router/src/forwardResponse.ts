import type { SendResponse, CallerExchange } from './ports.js';
import { EventSplitter } from './wireEventStream.js';

/** Options of {@link forwardResponse}. */
export interface ForwardResponseOptions {
  readonly exchange: CallerExchange;
  readonly response: SendResponse;
  readonly isStream: boolean;
  /** Whether an earlier run has begun the answer. */
  readonly hasBegun: boolean;
  /** Last event that the caller has. */
  readonly resumeAfter: string;
  readonly onFirstEvent: () => void;
}

/** How passing an answer on ended. */
export type ForwardResult = {
  readonly hasBegun: boolean;
  readonly lastEventId: string;
} & ({ readonly kind: 'whole' } | { readonly kind: 'broken'; readonly detail: string });

/** Passes an answer on to the caller: a stream event by event, anything else once it is whole. */
export function forwardResponse(opts: ForwardResponseOptions): Promise<ForwardResult> {
  return opts.isStream ? passStream(opts) : passWhole(opts);
}

async function passWhole(opts: ForwardResponseOptions): Promise<ForwardResult> {
  const { exchange, response: reply, resumeAfter: lastEventId } = opts;
  if (reply.status < 300 && !reply.isSealed) {
    reply.discard();
    return broken({ ...opts, lastEventId }, 'a success without proof of origin');
  }
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of reply.body) {
      chunks.push(chunk);
    }
  } catch (error) {
    return broken({ ...opts, lastEventId }, describe(error));
  }
  const body = Buffer.concat(chunks);
  if (opts.hasBegun) {
    return broken(
      { ...opts, lastEventId },
      `status ${reply.status} in place of the rest of the stream`,
    );
  }
  opts.onFirstEvent();
  const { status, passedHeaders } = reply;
  const bodyEnd = reply.bodyEnd === 'close' ? 'close' : 'length';
  exchange.writeHead({ status, passedHeaders, bodyEnd, bodyBytes: body.length });
  await exchange.write(body);
  exchange.end();
  return { kind: 'whole', hasBegun: true, lastEventId };
}

async function passStream(opts: ForwardResponseOptions): Promise<ForwardResult> {
  const { exchange, response: reply } = opts;
  let { hasBegun, resumeAfter: lastEventId } = opts;
  if (!reply.isSealed) {
    reply.discard();
    return broken({ hasBegun, lastEventId }, 'a stream without proof of origin');
  }
  const { status, passedHeaders } = reply;
  const bodyEnd = reply.bodyEnd === 'close' ? 'close' : 'last-chunk';
  const head = { status, passedHeaders, bodyEnd, bodyBytes: 0 } as const;
  const cutter = EventSplitter.create();
  try {
    for await (const chunk of reply.body) {
      const events = cutter.push(chunk);
      if (events.length === 0) {
        continue;
      }
      if (!hasBegun) {
        exchange.writeHead(head);
        hasBegun = true;
      }
      opts.onFirstEvent();
      lastEventId = events.findLast(({ id }) => id !== '')?.id ?? lastEventId;
      await exchange.write(Buffer.concat(events.map(({ bytes }) => bytes)));
    }
  } catch (error) {
    return broken({ hasBegun, lastEventId }, describe(error));
  }
  if (!cutter.isBetweenEvents) {
    return broken({ hasBegun, lastEventId }, 'the stream ended within an event');
  }
  if (!hasBegun) {
    exchange.writeHead(head);
  }
  exchange.end();
  return { kind: 'whole', hasBegun: true, lastEventId };
}

function broken(
  state: { readonly hasBegun: boolean; readonly lastEventId: string },
  detail: string,
): ForwardResult {
  const { hasBegun, lastEventId } = state;
  return { kind: 'broken', hasBegun, lastEventId, detail };
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : 'the answer broke off';
}
