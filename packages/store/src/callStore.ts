import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { CallBudget } from './callBudget.js';
import type {
  CallFailure,
  StoreCallKind,
  StoreResponse,
  StoreTransport,
  TransportFailure,
} from './storeTypes.js';
import { isLeaseNotFound } from './wire.js';

/** Number of calls made, by kind. */
export type CallCounts = Record<StoreCallKind, number>;

/** What every call of one client goes through. */
export interface CallContext {
  readonly transport: StoreTransport;
  readonly timer: TimerService;
  readonly budget: CallBudget;
  readonly counts: CallCounts;
  readonly callTimeoutMs: number;
}

/** Options of {@link callStore}. */
export interface CallStoreOptions<Answer> {
  readonly context: CallContext;
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly decode: (text: string) => Answer;
  /** Shorter time limit than that of the client, in milliseconds. */
  readonly timeoutMs?: number;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;

/** Makes one call and reads its whole answer within the time limit of a call. */
export async function callStore<Answer>(
  opts: CallStoreOptions<Answer>,
): Promise<Result<Answer, CallFailure>> {
  const { context } = opts;
  const limitMs = Math.min(opts.timeoutMs ?? Infinity, context.callTimeoutMs);
  const limit = context.timer.startTimeLimit({ limitMs });
  try {
    const opened = await openCall({ ...opts, signal: limit.signal });
    if (opened.isErr) {
      return Result.err(opened.error);
    }
    return Result.ok(opts.decode(await readAll(opened.value.chunks)));
  } catch (error) {
    return Result.err(toCallFailure({ kind: 'broken', detail: String(error) }));
  } finally {
    limit.release();
  }
}

/** Spends budget, counts the call and gives its answer once its head is there. */
export async function openCall(opts: {
  readonly context: CallContext;
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly signal: AbortSignal;
}): Promise<Result<StoreResponse, CallFailure>> {
  const { context, kind, body, signal } = opts;
  const waitMs = context.budget.spend();
  if (waitMs > 0) {
    return Result.err({ kind: 'not-sent', error: budgetSpent(waitMs) });
  }
  context.counts[kind] += 1;
  const sent = await context.transport({ kind, body, signal });
  if (sent.isErr) {
    return Result.err(toCallFailure(sent.error));
  }
  const { status } = sent.value;
  if (status === HTTP_OK) {
    return Result.ok(sent.value);
  }
  // A client error is an answer: the store looked at the call and did nothing.
  const refused = status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
  const text = await readAll(sent.value.chunks).catch(() => '');
  if (refused && isLeaseNotFound(text)) {
    return Result.err({ kind: 'not-sent', error: leaseLapsed() });
  }
  const detail = `status ${status}: ${text}`;
  return Result.err(toCallFailure({ kind: refused ? 'not-sent' : 'broken', detail }));
}

async function readAll(chunks: AsyncIterable<string>): Promise<string> {
  let text = '';
  for await (const chunk of chunks) {
    text += chunk;
  }
  return text;
}

function toCallFailure(failure: TransportFailure): CallFailure {
  const error = GalenatillerError.create({ name: 'store-unavailable', detail: failure.detail });
  return { kind: failure.kind, error };
}

function leaseLapsed(): GalenatillerError {
  const detail = 'the lease of a write has lapsed';
  return GalenatillerError.create({ name: 'lease-lost', detail });
}

function budgetSpent(retryAfterMs: number): GalenatillerError {
  return GalenatillerError.create({
    name: 'call-budget-spent',
    detail: `no store call is left for ${retryAfterMs} ms`,
    retryAfterMs,
  });
}
