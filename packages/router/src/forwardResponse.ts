import { MAX_RESPONSE_BYTES } from '@galenatiller/constants';
import { type BodyMemory, readParts } from '@galenatiller/http';
import { whenAborted } from '@galenatiller/tasks';
import type { BodyEnd } from '@galenatiller/types';

import { type BodyReport, BodyTally } from './bodyTally.js';
import { findEndFault } from './findEndFault.js';
import type { HeldTail } from './heldTail.js';
import type { CallerExchange, SenderState, SendResponse } from './ports.js';
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
  readonly tail: HeldTail;
  /** Finds out whether the process that sent the response still runs. */
  readonly findSender: () => Promise<SenderState>;
  /**
   * Called, possibly more than once, when data of the response has come in, with the number of its
   * events.
   */
  readonly onData: (events: number) => void;
}

type Forwarded = {
  readonly hasStarted: boolean;
  readonly lastEventId: string;
} & ({ readonly kind: 'complete' } | { readonly kind: 'interrupted'; readonly detail: string });

/** How forwarding a response ended, and what was seen of its body. */
export type ForwardResult = Forwarded & { readonly body: BodyReport };

/** Forwards a response to the caller: a stream event by event, anything else once it is complete. */
export async function forwardResponse(opts: ForwardResponseOptions): Promise<ForwardResult> {
  const isStream = opts.isStream || opts.response.isEventStream;
  const tally = BodyTally.create({ isStream });
  const forward = opts.isStream ? forwardStream : forwardBuffered;
  const forwarded = await forward({ ...opts, tally });
  return { ...forwarded, body: tally.report };
}

type Forwarding = ForwardResponseOptions & { readonly tally: BodyTally };

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
    tallyParts(opts, parts);
  } catch (error) {
    return createInterrupted({ ...opts, lastEventId }, describeError(error));
  }
  const bodyBytes = parts.reduce((sum, { length }) => sum + length, 0);
  const fault = await findFault(opts);
  if (fault !== undefined) {
    return createInterrupted({ ...opts, lastEventId }, fault);
  }
  const bodyEnd = findBufferedEnd(response.bodyEnd, bodyBytes);
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
  const { exchange, response, tail } = opts;
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
      await exchange.write(tail.push(part.bytes));
    }
  } catch (error) {
    return createInterrupted({ hasStarted, lastEventId }, describeError(error));
  }
  const fault = await findFault(opts);
  if (fault !== undefined) {
    return createInterrupted({ hasStarted, lastEventId }, fault);
  }
  if (!hasStarted) {
    exchange.writeHead(head);
  }
  await exchange.write(tail.release());
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

/** Why a body that has ended must not reach the caller as complete; undefined if it may. */
function findFault(opts: Forwarding): Promise<string | undefined> {
  const { response, tally } = opts;
  return findEndFault({
    bodyEnd: response.bodyEnd,
    position: tally.position,
    findSender: async () => {
      const sender = await opts.findSender();
      tally.recordSender(sender);
      return sender;
    },
  });
}

/** Tallies a body that was read as a whole; events are counted only where the last one has to be complete. */
function tallyParts({ response, tally }: Forwarding, parts: readonly Buffer[]): void {
  const splitter = EventSplitter.create();
  const hasEvents = response.isEventStream && response.bodyEnd === 'close';
  parts.forEach((part) => {
    const events = hasEvents ? (splitter.push(part)?.events ?? 0) : 0;
    tally.recordChunk({ bytes: part.length, events, isWithinEvent: !splitter.isBetweenEvents });
  });
  tally.recordEnd();
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
