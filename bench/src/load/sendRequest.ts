import type { TimerService } from '@galenatiller/timer';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { type Dispatcher, request } from 'undici';
import { z } from 'zod';

import type { RequestEnd, RequestRecord } from '../checker/history.js';
import type { PlannedRequest } from './plannedRequest.js';
import { ReceivedResponse } from './receivedResponse.js';

/** A request with its times, measured from when it was sent. */
export interface TimedRequest extends RequestRecord {
  readonly priority: string;
  readonly stream: boolean;
  readonly deadlineMs: number;
  readonly durationMs: number;
  /** Time to the first non-empty chunk of a stream; -1 when there was none. */
  readonly firstTokenMs: number;
  readonly tokenGapsMs: readonly number[];
}

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  readonly planned: PlannedRequest;
  readonly expected: string;
  /** URL of an entry, or of an engine with `direct`. */
  readonly baseUrl: string;
  /** Sends the prompt to the engine at `baseUrl`, with this token limit, instead of to an entry. */
  readonly direct?: { readonly maxTokens: number };
  readonly dispatcher: Dispatcher;
  readonly timer: TimerService;
}

/** Time after the deadline at which the caller aborts the request. */
const CALLER_GRACE_MS = 10_000;

const HTTP_OK = 200;

const responseSchema = z.object({
  // An engine that is called directly returns no id.
  id: z.string().default(''),
  choices: z.array(z.object({ text: z.string() })),
  result: z.object({ receipt: z.string() }).nullish(),
});

const problemSchema = z.object({
  code: z.number(),
  outcome: z.enum(['not-run', 'ran', 'may-have-run']),
  requestId: z.string(),
});

/** Sends one request and records how it ended; never rejects. */
export async function sendRequest(opts: SendRequestOptions): Promise<TimedRequest> {
  const { planned, timer, expected } = opts;
  const issuedWallMs = timer.wallMs();
  const issuedMs = timer.nowMs();
  const received = ReceivedResponse.create();
  const timeLimit = timer.startTimeLimit({ limitMs: planned.route.deadlineMs + CALLER_GRACE_MS });
  let end: RequestEnd;
  try {
    end = await exchange(opts, received, timeLimit.signal);
  } catch (error) {
    end = { kind: 'unanswered', detail: error instanceof Error ? error.message : String(error) };
  } finally {
    timeLimit.release();
  }
  return {
    requestId: received.requestId,
    bodyRequestId: received.bodyRequestId,
    text: received.text,
    firstTokenMs: received.firstTokenMs,
    tokenGapsMs: received.tokenGapsMs,
    organisation: planned.organisation,
    route: planned.route.name,
    runKey: planned.runKey,
    atMostOnce: planned.atMostOnce,
    issuedWallMs,
    expected,
    end,
    priority: planned.route.priority,
    stream: planned.stream,
    deadlineMs: planned.route.deadlineMs,
    durationMs: timer.nowMs() - issuedMs,
  };
}

async function exchange(
  opts: SendRequestOptions,
  received: ReceivedResponse,
  signal: AbortSignal,
): Promise<RequestEnd> {
  const { planned, baseUrl, dispatcher, timer } = opts;
  const startedMs = timer.nowMs();
  const { stream, runKey } = planned;
  const response = await request(baseUrl + getPath(opts), {
    method: 'POST',
    dispatcher,
    signal,
    headers: {
      authorization: `Bearer example-key-${planned.organisation}`,
      'content-type': 'application/json',
      ...(runKey === '' ? {} : { 'idempotency-key': runKey }),
    },
    body: encodeBody(opts),
  });
  received.recordHead(String(response.headers['x-request-id'] ?? ''));
  if (response.statusCode !== HTTP_OK) {
    return readProblem(await response.body.json(), received);
  }
  if (stream) {
    return readStream(response.body, received, () => timer.nowMs() - startedMs);
  }
  const { id, choices, result } = responseSchema.parse(await response.body.json());
  received.recordBody(id, result?.receipt ?? choices[0]?.text ?? '');
  return { kind: 'answered' };
}

function getPath({ planned, direct }: SendRequestOptions): string {
  return direct ? '/v1/completions' : `/v1/routes/${planned.route.name}`;
}

function encodeBody({ planned, direct }: SendRequestOptions): string {
  const { prompt, stream, body } = planned;
  return JSON.stringify({
    prompt,
    stream,
    ...(direct ? { max_tokens: direct.maxTokens } : {}),
    ...(body === null ? {} : { body }),
  });
}

function readProblem(body: unknown, received: ReceivedResponse): RequestEnd {
  const { code, outcome, requestId } = problemSchema.parse(body);
  received.recordBody(requestId, '');
  return { kind: 'refused', code, outcome };
}

async function readStream(
  chunks: AsyncIterable<Buffer>,
  received: ReceivedResponse,
  elapsedMs: () => number,
): Promise<RequestEnd> {
  const decoder = new TextDecoder();
  let end: RequestEnd = { kind: 'unanswered', detail: 'the stream was interrupted' };
  const parser = createParser({
    onEvent: (event) => {
      end = handleEvent(event) ?? end;
    },
  });
  for await (const chunk of chunks) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return end;

  function handleEvent(event: EventSourceMessage): RequestEnd | undefined {
    if (event.data === '[DONE]') {
      return { kind: 'answered' };
    }
    if (event.event === 'error') {
      return readProblem(JSON.parse(event.data), received);
    }
    const { id, choices } = responseSchema.parse(JSON.parse(event.data));
    received.recordChunk(id, choices[0]?.text ?? '', elapsedMs());
    return undefined;
  }
}
