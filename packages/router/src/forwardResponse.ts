import { MAX_RESPONSE_BYTES } from '@galenatiller/constants';
import { type BodyMemory, readParts } from '@galenatiller/http';
import { whenAborted } from '@galenatiller/tasks';
import type { BodyEnd } from '@galenatiller/types';

import { type BodyReport, BodyTally } from './bodyTally.js';
import type { CallerExchange, SendResponse } from './ports.js';
import { type EventPart, EventSplitter } from './wireEventStream.js';

/** Options of {@link forwardResponse}. */
export interface ForwardResponseOptions {
  readonly exchange: CallerExchange;
  readonly response: SendResponse;
  readonly isStream: boolean;
  /** Aborts at the deadline of the call, and with it the body of the response. */
  readonly signal: AbortSignal;
  /** Memory for bodies that are no streams. */
  readonly bodyMemory: BodyMemory;
  /** Whether an earlier attempt has started the response to the caller. */
  readonly hasStarted: boolean;
  /** Id of the last event that the caller has; empty when it has none. */
  readonly resumeAfter: string;
  /** Whether the process of the target is gone. */
  readonly hasTargetCrashed: () => Promise<boolean>;
  /**
   * Called, possibly more than once, when data of the response has come in, with the number of its
   * events.
   */
  readonly onData: (events: number) => void;
}

/** How forwarding a response ended. */
export type ForwardResult = {
  readonly hasStarted: boolean;
  readonly lastEventId: string;
  /** What was seen of the body. */
  readonly body: BodyReport;
} & ({ readonly kind: 'complete' } | { readonly kind: 'interrupted'; readonly detail: string });

/** Forwards a response to the caller: a stream event by event, anything else once it is complete. */
export async function forwardResponse(opts: ForwardResponseOptions): Promise<ForwardResult> {
  const tally = BodyTally.create(opts);
  const forward = opts.isStream ? forwardStream : forwardBuffered;
  const forwarded = await forward({ ...opts, tally });
  return { ...forwarded, body: tally.report };
}

type Forwarding = ForwardResponseOptions & { readonly tally: BodyTally };

type Forwarded = Omit<ForwardResult, 'body'> &
  ({ readonly kind: 'complete' } | { readonly kind: 'interrupted'; readonly detail: string });

async function forwardBuffered(opts: Forwarding): Promise<Forwarded> {
  const { exchange, response, resumeAfter: lastEventId } = opts;
  if (response.status < 300 && !response.isSealed) {
    response.discard();
    return createInterrupted(
      { ...opts, lastEventId },
      'a success response without proof of origin',
    );
  }
  if (opts.hasStarted) {
    response.discard();
    return createInterrupted(
      { ...opts, lastEventId },
      `status ${response.status} instead of the rest of the stream`,
    );
  }
  let parts: readonly Buffer[];
  try {
    parts = await readParts({
      body: response.body,
      maxBytes: MAX_RESPONSE_BYTES,
      memory: opts.bodyMemory,
      mayExceed: () => waitForTurn(opts),
    });
  } catch (error) {
    return createInterrupted({ ...opts, lastEventId }, describeError(error));
  }
  const bodyBytes = parts.reduce((sum, { length }) => sum + length, 0);
  opts.tally.recordChunk({ bytes: bodyBytes, events: 0, isWithinEvent: false });
  opts.tally.recordEnd();
  const bodyEnd = findBufferedEnd(response.bodyEnd, bodyBytes);
  if (bodyEnd !== 'close' && (await isCutByCrash(opts))) {
    return createInterrupted({ ...opts, lastEventId }, CUT_BY_CRASH);
  }
  opts.onData(0);
  const { status, passedHeaders } = response;
  exchange.writeHead({ status, passedHeaders, bodyEnd, bodyBytes });
  await exchange.write(parts);
  exchange.end();
  return { kind: 'complete', hasStarted: true, lastEventId };
}

/**
 * Waits until all earlier responses of the connection have left: a caller that sends many requests ahead
 * would otherwise make the router keep all their bodies. A wait that the deadline ends is followed by an
 * error of the body.
 */
async function waitForTurn({ exchange, signal }: ForwardResponseOptions): Promise<void> {
  await Promise.race([exchange.whenNext(), whenAborted(signal)]);
}

async function forwardStream(opts: Forwarding): Promise<Forwarded> {
  const { exchange, response } = opts;
  let { hasStarted, resumeAfter: lastEventId } = opts;
  const unusable = findStreamFault(opts);
  if (unusable !== undefined) {
    response.discard();
    return createInterrupted({ hasStarted, lastEventId }, unusable);
  }
  const { status, passedHeaders } = response;
  const bodyEnd = response.bodyEnd === 'none' ? 'none' : 'last-chunk';
  const head = { status, passedHeaders, bodyEnd, bodyBytes: 0 } as const;
  try {
    for await (const part of readEvents(opts)) {
      if (!hasStarted) {
        exchange.writeHead(head);
        hasStarted = true;
      }
      opts.onData(part.events);
      lastEventId = part.lastEventId ?? lastEventId;
      await exchange.write([part.bytes]);
    }
  } catch (error) {
    return createInterrupted({ hasStarted, lastEventId }, describeError(error));
  }
  if (await isCutByCrash(opts)) {
    return createInterrupted({ hasStarted, lastEventId }, CUT_BY_CRASH);
  }
  if (!hasStarted) {
    exchange.writeHead(head);
  }
  exchange.end();
  return { kind: 'complete', hasStarted: true, lastEventId };
}

/** Bytes that a new connection surely takes in one write. */
const MAX_SINGLE_WRITE_BYTES = 16_384;

/**
 * How a body that was read as a whole is sent. The target's `close` doesn't prove that it is complete, so
 * it becomes a length only where the body would take several writes.
 */
function findBufferedEnd(targetEnd: BodyEnd, bodyBytes: number): BodyEnd {
  if (targetEnd === 'close' && bodyBytes <= MAX_SINGLE_WRITE_BYTES) {
    return 'close';
  }
  return targetEnd === 'none' ? 'none' : 'length';
}

const CUT_BY_CRASH = 'the target crashed, so the end of a body without length proves nothing';

/**
 * Whether a body may have been cut by a crash of its target: the kernel closes the connections of a
 * process that crashed in an orderly way, which looks like the end of a body without a length.
 */
async function isCutByCrash(opts: Forwarding): Promise<boolean> {
  if (opts.response.bodyEnd !== 'close') {
    return false;
  }
  const isGone = await opts.hasTargetCrashed();
  opts.tally.recordSender(isGone ? 'gone' : 'unknown');
  return isGone;
}

/** Why the head of a response shows that its body must not reach the caller; undefined if it may. */
function findStreamFault(opts: ForwardResponseOptions): string | undefined {
  const { response, hasStarted } = opts;
  if (!response.isSealed) {
    return 'a stream without proof of origin';
  }
  return hasStarted && !response.isEventStream ? 'no events instead of the rest' : undefined;
}

/**
 * Yields the events of a response as they complete; throws when its body breaks off, or when it
 * isn't the rest of a stream that has started.
 */
async function* readEvents(opts: Forwarding): AsyncGenerator<EventPart, void, void> {
  const splitter = EventSplitter.create();
  let isRest = !opts.hasStarted;
  for await (const chunk of opts.response.body) {
    const part = splitter.push(chunk);
    opts.tally.recordChunk({
      bytes: chunk.length,
      events: part?.events ?? 0,
      isWithinEvent: !splitter.isBetweenEvents,
    });
    if (part) {
      if (!isRest && !isAfter(part, opts.resumeAfter)) {
        throw new Error('events that the caller has instead of the rest');
      }
      isRest = true;
      yield part;
    }
  }
  opts.tally.recordEnd();
  if (!splitter.isBetweenEvents) {
    throw new Error('the stream ended in the middle of an event');
  }
  if (!isRest) {
    throw new Error('no event instead of the rest');
  }
}

/** Whether events follow the last one that the caller has; ids that are no numbers prove nothing. */
function isAfter(part: EventPart, lastEventId: string): boolean {
  const first = Number(part.findFirstId() ?? Number.NaN);
  return !(first <= Number(lastEventId === '' ? Number.NaN : lastEventId));
}

function createInterrupted(
  state: { readonly hasStarted: boolean; readonly lastEventId: string },
  detail: string,
): Forwarded {
  const { hasStarted, lastEventId } = state;
  return { kind: 'interrupted', hasStarted, lastEventId, detail };
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : 'the response was interrupted';
}
