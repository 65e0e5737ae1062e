import { GalenatillerError } from '@galenatiller/error';
import {
  createAttemptHeaders,
  fetchText,
  findStatusError,
  type OnTargetNotice,
  probeTargetProcess,
  type TextResponse,
} from '@galenatiller/http';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { StageRequest, StageResult } from '@galenatiller/types';
import { Result } from 'true-myth';

import { decodeCallResponse, encodeCall } from './wire.js';

/** Options of {@link runServiceCall}. */
export interface RunServiceCallOptions {
  /** Base URL of the service. */
  readonly url: string;
  readonly order: StageRequest;
  readonly signal: AbortSignal;
  readonly onNotice?: OnTargetNotice;
}

/** Lowest HTTP status that means that the service failed; a lower one is a result of the call. */
const FIRST_SERVER_ERROR = 500;

/** Runs one call on a plain service. A response with a client error (4xx) is a result as well. */
export async function runServiceCall(
  opts: RunServiceCallOptions,
): Promise<Result<StageResult, GalenatillerError>> {
  const { order } = opts;
  const { input } = order;
  if (input.kind !== 'call') {
    return Result.err(
      GalenatillerError.create({
        name: 'target-refused',
        detail: `a service can't run ${input.kind} stages`,
      }),
    );
  }
  const response = await fetchText({
    ...opts,
    path: '/v1/call',
    method: 'POST',
    headers: {
      ...createAttemptHeaders(order),
      ...(order.runKey === '' ? {} : { 'idempotency-key': order.runKey }),
    },
    body: encodeCall(input.body),
    isConnectionNew: true,
  });
  const read = response.andThen(readResponse);
  if (response.isErr || read.isErr || (await isComplete(opts, response.value, read.value))) {
    return read;
  }
  const detail = 'the service does not run on, so a number without framing may be cut';
  return Result.err(GalenatillerError.create({ name: 'stream-broken', detail }));
}

/** Time for the service to say that it still runs. */
const PROBE_TIMEOUT_MS = 400;

const timer = TimerService.create({ clock: systemClock });

/**
 * Whether a result is complete. Of all JSON values only a number is still one when it is cut; without framing
 * it is complete only if the process that sent it still runs.
 */
async function isComplete(
  { url, signal }: RunServiceCallOptions,
  response: TextResponse,
  result: StageResult,
): Promise<boolean> {
  const isCertain = response.bodyEnd !== 'close' || result.kind !== 'call';
  if (isCertain || typeof result.body !== 'number') {
    return true;
  }
  const knownStartId = response.header('x-engine-start-id');
  const limit = timer.startTimeLimit({ limitMs: PROBE_TIMEOUT_MS, parent: signal });
  const state = await probeTargetProcess({
    url,
    knownStartId,
    isConnectionNew: true,
    signal: limit.signal,
  });
  limit.release();
  return state === 'alive';
}

function readResponse({ status, text }: TextResponse): Result<StageResult, GalenatillerError> {
  const failure = findStatusError({ status, text });
  if (failure.isJust && status >= FIRST_SERVER_ERROR) {
    return Result.err(failure.value);
  }
  return decodeCallResponse(text).map((body) => ({ kind: 'call', status, body }));
}
