import type { TimerService } from '@galenatiller/timer';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { type Dispatcher, request } from 'undici';
import { z } from 'zod';

import type { RequestEnd, RequestRecord } from '../checker/history.js';
import type { PlannedRequest } from './plannedRequest.js';
import { ReceivedResponse } from './receivedResponse.js';

/** A request with its times, from its issue. */
export interface TimedRequest extends RequestRecord {
  readonly priority: string;
  readonly stream: boolean;
  readonly deadlineMs: number;
  readonly durationMs: number;
  /** Time until the first piece of a stream; -1 when there was none. */
  readonly firstTokenMs: number;
  readonly tokenGapsMs: readonly number[];
}

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  readonly planned: PlannedRequest;
  readonly expected: string;
  readonly baseUrl: string;
  /** Asks an engine at the URL instead of an entry, for so many tokens. */
  readonly direct?: { readonly maxTokens: number };
  readonly dispatcher: Dispatcher;
  readonly timer: TimerService;
}

/** Time after the deadline at which the caller gives up. */
const CALLER_GRACE_MS = 10_000;

const HTTP_OK = 200;

const responseSchema = z.object({
  // An engine that is asked straight gives no id.
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
  const answer = ReceivedResponse.create();
  const limit = timer.startTimeLimit({ limitMs: planned.route.deadlineMs + CALLER_GRACE_MS });
  let end: RequestEnd;
  try {
    end = await exchange(opts, answer, limit.signal);
  } catch (error) {
    end = { kind: 'unanswered', detail: error instanceof Error ? error.message : String(error) };
  } finally {
    limit.release();
  }
  return {
    requestId: answer.requestId,
    bodyRequestId: answer.bodyRequestId,
    text: answer.text,
    firstTokenMs: answer.firstTokenMs,
    tokenGapsMs: answer.tokenGapsMs,
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
  answer: ReceivedResponse,
  signal: AbortSignal,
): Promise<RequestEnd> {
  const { planned, baseUrl: entryUrl, dispatcher, timer } = opts;
  const startedMs = timer.nowMs();
  const { stream, runKey } = planned;
  const response = await request(entryUrl + getPath(opts), {
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
  answer.recordHead(String(response.headers['x-request-id'] ?? ''));
  if (response.statusCode !== HTTP_OK) {
    return readProblem(await response.body.json(), answer);
  }
  if (stream) {
    return readStream(response.body, answer, () => timer.nowMs() - startedMs);
  }
  const { id, choices, result } = responseSchema.parse(await response.body.json());
  answer.recordBody(id, result?.receipt ?? choices[0]?.text ?? '');
  return { kind: 'answered' };
}

function getPath({ planned, direct: straight }: SendRequestOptions): string {
  return straight ? '/v1/completions' : `/v1/routes/${planned.route.name}`;
}

function encodeBody({ planned, direct: straight }: SendRequestOptions): string {
  const { prompt, stream, body } = planned;
  return JSON.stringify({
    prompt,
    stream,
    ...(straight ? { max_tokens: straight.maxTokens } : {}),
    ...(body === null ? {} : { body }),
  });
}

function readProblem(body: unknown, answer: ReceivedResponse): RequestEnd {
  const { code, outcome, requestId } = problemSchema.parse(body);
  answer.recordBody(requestId, '');
  return { kind: 'refused', code, outcome };
}

async function readStream(
  chunks: AsyncIterable<Buffer>,
  answer: ReceivedResponse,
  elapsedMs: () => number,
): Promise<RequestEnd> {
  const decoder = new TextDecoder();
  let end: RequestEnd = { kind: 'unanswered', detail: 'the stream broke off' };
  const parser = createParser({
    onEvent: (event) => {
      end = takeEvent(event) ?? end;
    },
  });
  for await (const chunk of chunks) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return end;

  function takeEvent(event: EventSourceMessage): RequestEnd | undefined {
    if (event.data === '[DONE]') {
      return { kind: 'answered' };
    }
    if (event.event === 'error') {
      return readProblem(JSON.parse(event.data), answer);
    }
    const { id, choices } = responseSchema.parse(JSON.parse(event.data));
    answer.recordChunk(id, choices[0]?.text ?? '', elapsedMs());
    return undefined;
  }
}
