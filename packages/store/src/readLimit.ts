import type { TimerService } from '@galenatiller/timer';

import type { ReadControl } from './prefixSource.js';

/** Options of {@link callWithReadLimit}. */
export interface ReadLimitOptions<Value> {
  readonly timer: TimerService;
  /** Time until the response must have begun. */
  readonly limitMs: number;
  /** Time allowed for each part of the response. */
  readonly partLimitMs: number;
  readonly parent?: AbortSignal;
  readonly call: (control: ReadControl) => Promise<Value>;
}

/** Ends a read whose response arrives so slowly that it is of no use; longer than any history is kept. */
const MAX_READ_MS = 30_000;

/** Makes a call that is cancelled when nothing of its response arrives for too long. */
export async function callWithReadLimit<Value>(opts: ReadLimitOptions<Value>): Promise<Value> {
  const { timer, limitMs, partLimitMs, parent } = opts;
  const endsAtMs = timer.nowMs() + MAX_READ_MS;
  const timeLimit = timer.startTimeLimit({ limitMs, ...(parent && { parent }) });
  const onProgress = (): void =>
    timeLimit.extend({ leftMs: Math.min(partLimitMs, endsAtMs - timer.nowMs()) });
  try {
    return await opts.call({ signal: timeLimit.signal, onProgress });
  } finally {
    timeLimit.release();
  }
}
