import { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import { type CallContext, callStore } from './callStore.js';
import { jitteredDelayMs } from './jitteredDelayMs.js';
import type {
  CallFailure,
  KeyExpectation,
  KeyWrite,
  StoreEntry,
  SwapResult,
} from './storeTypes.js';
import { decodeTxn, encodeTxn, type TxnResponse } from './wire.js';

/**
 * Options of a compare-and-swap. At least one written key must also be an expected key, because its
 * write token shows whether the swap took effect when a response was lost.
 */
export interface SwapOptions {
  readonly expected: readonly KeyExpectation[];
  readonly puts: readonly KeyWrite[];
  readonly deletes?: readonly string[];
  /** Time after which a swap without a response is abandoned. */
  readonly timeoutMs?: number;
}

/** Options of {@link compareAndSwap}. */
export interface CompareAndSwapOptions {
  readonly context: CallContext;
  readonly random: () => number;
  readonly swap: SwapOptions;
  /** Unique to this swap; stored with each value it writes. */
  readonly writeToken: string;
}

/** Number of times that one swap is sent. */
const MAX_ATTEMPTS = 4;
const RETRY_BASE_MS = 50;
const MAX_RETRY_DELAY_MS = 400;

/**
 * Sends a swap until its outcome is known. Sending it again is safe and tells more than a read: a
 * first request that is still in flight can no longer succeed once the second has succeeded.
 */
export async function compareAndSwap(
  opts: CompareAndSwapOptions,
): Promise<Result<SwapResult, GalenatillerError>> {
  const { context, random, swap, writeToken } = opts;
  const body = encodeTxn({ deletes: [], ...swap, writeToken });
  const deadlineMs = context.timer.nowMs() + (swap.timeoutMs ?? Infinity);
  let hasLostResponse = false;
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    const timeoutMs = deadlineMs - context.timer.nowMs();
    if (timeoutMs <= 0) {
      break;
    }
    const response = await callStore({
      context,
      kind: 'txn',
      body,
      decode: decodeTxn,
      timeoutMs,
    });
    if (response.isOk) {
      return Result.ok(
        interpretResponse({ response: response.value, hasLostResponse, swap, writeToken }),
      );
    }
    if (response.error.kind === 'not-sent' && !hasLostResponse) {
      return Result.err(response.error.error);
    }
    hasLostResponse = true;
    await context.timer.sleep({
      delayMs: computeRetryDelayMs({ attempts, random, failure: response.error }),
    });
  }
  return Result.err(createAmbiguousError(swap));
}

interface InterpretResponseOptions {
  readonly response: TxnResponse;
  readonly hasLostResponse: boolean;
  readonly swap: SwapOptions;
  readonly writeToken: string;
}

function interpretResponse({
  response,
  hasLostResponse,
  swap,
  writeToken,
}: InterpretResponseOptions): SwapResult {
  if (response.succeeded) {
    return { kind: 'swapped', revision: response.revision };
  }
  if (!hasLostResponse) {
    return { kind: 'conflict', current: response.current };
  }
  const ownEntry = response.current.find((entry) => entry.writeToken === writeToken);
  if (ownEntry) {
    return { kind: 'swapped', revision: ownEntry.modRevision };
  }
  if (swap.puts.length === 0 && areAllDeleted(swap.deletes ?? [], response.current)) {
    return { kind: 'swapped', revision: response.revision };
  }
  return { kind: 'superseded', current: response.current };
}

function areAllDeleted(keys: readonly string[], current: readonly StoreEntry[]): boolean {
  return !current.some((entry) => keys.includes(entry.key));
}

function computeRetryDelayMs(opts: {
  readonly attempts: number;
  readonly random: () => number;
  readonly failure: CallFailure;
}): number {
  const delayMs = jitteredDelayMs({
    failures: opts.attempts,
    baseMs: RETRY_BASE_MS,
    maxMs: MAX_RETRY_DELAY_MS,
    random: opts.random,
  });
  return Math.max(delayMs, opts.failure.error.retryAfterMs);
}

function createAmbiguousError(swap: SwapOptions): GalenatillerError {
  const keys = swap.puts.map((put) => put.key).slice(0, 3);
  return GalenatillerError.create({
    name: 'store-ambiguous',
    detail: `no response to a write of ${swap.puts.length} keys (${keys.join(', ')})`,
  });
}
