import { GalenatillerError } from '@galenatiller/error';
import {
  createAttemptHeaders,
  fetchText,
  findStatusError,
  type OnTargetNotice,
  type TextResponse,
} from '@galenatiller/http';
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
  return response.andThen(readResponse);
}

function readResponse({ status, text }: TextResponse): Result<StageResult, GalenatillerError> {
  const failure = findStatusError({ status, text });
  if (failure.isJust && status >= FIRST_SERVER_ERROR) {
    return Result.err(failure.value);
  }
  return decodeCallResponse(text).map((body) => ({ kind: 'call', status, body }));
}
