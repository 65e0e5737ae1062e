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
 * Options of a compare-and-swap. At least one of the keys written is among the expected ones: a lost
 * answer is recognised by the write token there.
 */
export interface SwapOptions {
  readonly expected: readonly KeyExpectation[];
  readonly puts: readonly KeyWrite[];
  readonly deletes?: readonly string[];
  /** Time after which a lost answer is given up, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Options of {@link compareAndSwap}. */
export interface CompareAndSwapOptions {
  readonly context: CallContext;
  readonly random: () => number;
  readonly swap: SwapOptions;
  /** Unique to this swap; stored with each value. */
  readonly writeToken: string;
}

/** Sends of one swap before its lost answer is given up. */
const MAX_SENDS = 4;
const RESEND_BASE_MS = 50;
const RESEND_CAP_MS = 400;

/**
 * Sends a swap until its effect is known. Sending it again is harmless and settles more than a read
 * could: a first send that is still on its way can no longer succeed after the second has.
 */
export async function compareAndSwap(
  opts: CompareAndSwapOptions,
): Promise<Result<SwapResult, GalenatillerError>> {
  const { context, random, swap, writeToken } = opts;
  const body = encodeTxn({ deletes: [], ...swap, writeToken });
  const untilMs = context.timer.nowMs() + (swap.timeoutMs ?? Infinity);
  let answerLost = false;
  for (let sends = 0; sends < MAX_SENDS; sends += 1) {
    const limitMs = untilMs - context.timer.nowMs();
    if (limitMs <= 0) {
      break;
    }
    const sent = await callStore({
      context,
      kind: 'txn',
      body,
      decode: decodeTxn,
      timeoutMs: limitMs,
    });
    if (sent.isOk) {
      return Result.ok(judge({ answer: sent.value, answerLost, swap, writeToken }));
    }
    if (sent.error.kind === 'not-sent' && !answerLost) {
      return Result.err(sent.error.error);
    }
    answerLost = true;
    await context.timer.sleep({ delayMs: resendDelayMs({ sends, random, failure: sent.error }) });
  }
  return Result.err(ambiguous(swap));
}

interface JudgeOptions {
  readonly answer: TxnResponse;
  readonly answerLost: boolean;
  readonly swap: SwapOptions;
  readonly writeToken: string;
}

function judge({ answer, answerLost, swap, writeToken }: JudgeOptions): SwapResult {
  if (answer.succeeded) {
    return { kind: 'swapped', revision: answer.revision };
  }
  if (!answerLost) {
    return { kind: 'conflict', current: answer.current };
  }
  const own = answer.current.find((entry) => entry.writeToken === writeToken);
  if (own) {
    return { kind: 'swapped', revision: own.modRevision };
  }
  if (swap.puts.length === 0 && noneIsLeft(swap.deletes ?? [], answer.current)) {
    return { kind: 'swapped', revision: answer.revision };
  }
  return { kind: 'superseded', current: answer.current };
}

function noneIsLeft(keys: readonly string[], current: readonly StoreEntry[]): boolean {
  return !current.some((entry) => keys.includes(entry.key));
}

function resendDelayMs(opts: {
  readonly sends: number;
  readonly random: () => number;
  readonly failure: CallFailure;
}): number {
  const delayMs = jitteredDelayMs({
    failures: opts.sends,
    baseMs: RESEND_BASE_MS,
    capMs: RESEND_CAP_MS,
    random: opts.random,
  });
  return Math.max(delayMs, opts.failure.error.retryAfterMs);
}

function ambiguous(swap: SwapOptions): GalenatillerError {
  const keys = swap.puts.map((put) => put.key).slice(0, 3);
  return GalenatillerError.create({
    name: 'store-ambiguous',
    detail: `no answer to a write of ${swap.puts.length} keys (${keys.join(', ')})`,
  });
}
