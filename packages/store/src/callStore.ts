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
import type { ReadControl } from './prefixSource.js';
import { callWithReadLimit } from './readLimit.js';
import type { RestoreDetector } from './restoreDetector.js';
import { decodeHeader, isLeaseNotFound } from './wire.js';

/** Number of calls made of each kind. */
export type CallCounts = Record<StoreCallKind, number>;

/** State shared by all calls of one client. */
export interface CallContext {
  readonly transport: StoreTransport;
  readonly timer: TimerService;
  readonly budget: CallBudget;
  readonly counts: CallCounts;
  readonly callTimeoutMs: number;
  readonly era: RestoreDetector;
}

/** Options of {@link callStore}. */
export interface CallStoreOptions<Decoded> {
  readonly context: CallContext;
  readonly kind: StoreCallKind;
  readonly body: string;
  /** Decodes the parsed body of a response. */
  readonly decode: (body: unknown) => Decoded;
  /** Time limit of this call, if shorter than that of the client. */
  readonly timeoutMs?: number;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;

/**
 * Makes one call and reads the complete response. The response must begin within the time limit; if the call has
 * none of its own, each part of the response has as long again, as its size depends on what is stored.
 */
export function callStore<Decoded>(
  opts: CallStoreOptions<Decoded>,
): Promise<Result<Decoded, CallFailure>> {
  const { context, timeoutMs = Infinity } = opts;
  const { timer, callTimeoutMs } = context;
  return callWithReadLimit({
    timer,
    limitMs: Math.min(timeoutMs, callTimeoutMs),
    partLimitMs: timeoutMs === Infinity ? callTimeoutMs : 0,
    call: (control) => callWithControl(opts, control),
  });
}

async function callWithControl<Decoded>(
  opts: CallStoreOptions<Decoded>,
  { signal, onProgress }: ReadControl,
): Promise<Result<Decoded, CallFailure>> {
  const { context } = opts;
  const sentAt = context.era.mark();
  try {
    const response = await openCall({ ...opts, signal });
    if (response.isErr) {
      return Result.err(response.error);
    }
    const body: unknown = JSON.parse(await readAll(response.value.chunks, onProgress));
    if (!context.era.observe(decodeHeader(body), sentAt)) {
      const detail = 'the response is from before the store was restored';
      return Result.err(toCallFailure({ kind: 'broken', detail }));
    }
    return Result.ok(opts.decode(body));
  } catch (error) {
    return Result.err(toCallFailure({ kind: 'broken', detail: String(error) }));
  }
}

/** Takes a call from the budget, counts it and returns the response once its status has arrived. */
export async function openCall(opts: {
  readonly context: CallContext;
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly signal: AbortSignal;
}): Promise<Result<StoreResponse, CallFailure>> {
  const { context, kind, body, signal } = opts;
  const waitMs = context.budget.spend();
  if (waitMs > 0) {
    return Result.err({ kind: 'not-sent', error: createBudgetSpentError(waitMs) });
  }
  context.counts[kind] += 1;
  const response = await context.transport({ kind, body, signal });
  if (response.isErr) {
    return Result.err(toCallFailure(response.error));
  }
  const { status } = response.value;
  if (status === HTTP_OK) {
    return Result.ok(response.value);
  }
  // A 4xx status proves that the store rejected the call without applying it.
  const isRejected = status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
  const text = await readAll(response.value.chunks).catch(() => '');
  if (isRejected && isLeaseNotFound(text)) {
    return Result.err({ kind: 'not-sent', error: createLeaseExpiredError() });
  }
  const detail = `status ${status}: ${text}`;
  return Result.err(toCallFailure({ kind: isRejected ? 'not-sent' : 'broken', detail }));
}

async function readAll(chunks: AsyncIterable<string>, onProgress?: () => void): Promise<string> {
  let text = '';
  for await (const chunk of chunks) {
    onProgress?.();
    text += chunk;
  }
  return text;
}

function toCallFailure(failure: TransportFailure): CallFailure {
  const error = GalenatillerError.create({ name: 'store-unavailable', detail: failure.detail });
  return { kind: failure.kind, error };
}

function createLeaseExpiredError(): GalenatillerError {
  const detail = 'the lease of the write has expired';
  return GalenatillerError.create({ name: 'lease-lost', detail });
}

function createBudgetSpentError(retryAfterMs: number): GalenatillerError {
  return GalenatillerError.create({
    name: 'call-budget-spent',
    detail: `the store call budget is exhausted for ${retryAfterMs} ms`,
    retryAfterMs,
  });
}
