import { GalenatillerError } from '@galenatiller/error';
import { fetchText, findStatusError, type OnTargetNotice } from '@galenatiller/http';
import { Result } from 'true-myth';

import type { EngineOrder } from './engineOrder.js';
import { encodeOrder } from './wireEngine.js';

/** Options of {@link sendEngineOrder}. */
export interface SendEngineOrderOptions {
  /** Base URL of the engine. */
  readonly url: string;
  readonly order: EngineOrder;
  readonly signal: AbortSignal;
  readonly onNotice?: OnTargetNotice;
}

/** Status of an engine that has seen a higher fencing number. */
const CONFLICT = 409;

/** Sends one order to an engine; ok means that the engine has accepted it. */
export async function sendEngineOrder(
  opts: SendEngineOrderOptions,
): Promise<Result<EngineOrder, GalenatillerError>> {
  const { order } = opts;
  const response = await fetchText({
    ...opts,
    path: '/orders',
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: encodeOrder(order),
  });
  return response.andThen(({ status, text }) => {
    if (status === CONFLICT) {
      const detail = `the engine refused fencing number ${order.fencingNumber}`;
      return Result.err(GalenatillerError.create({ name: 'old-fencing-number', detail }));
    }
    const failure = findStatusError({ status, text });
    return failure.isJust ? Result.err(failure.value) : Result.ok(order);
  });
}
