import type { GalenatillerError } from '@galenatiller/error';
import { fetchText, findStatusError, type OnTargetNotice } from '@galenatiller/http';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { EngineLoad } from './engineOrder.js';
import { decodeLoad } from './wireEngine.js';

/** Options of {@link pollEngine}. */
export interface PollEngineOptions {
  /** Base URL of the engine. */
  readonly url: string;
  readonly timer: TimerService;
  /** Aborting it ends the task. */
  readonly signal: AbortSignal;
  readonly intervalMs: number;
  /** Called with the identity of the engine process on each poll. */
  readonly onStartId: (startId: string) => void;
  readonly onLoad: (load: EngineLoad) => void;
  readonly onFailure: (error: GalenatillerError) => void;
  /** Whether the engine may be polled now; it always may if unset. */
  readonly mayPoll?: () => boolean;
  readonly onNotice?: OnTargetNotice;
}

/** Polls the load and identity of an engine until the signal aborts. */
export async function pollEngine(opts: PollEngineOptions): Promise<void> {
  const { timer, signal, intervalMs } = opts;
  while (!signal.aborted) {
    if (opts.mayPoll?.() ?? true) {
      await pollOnce(opts);
    }
    await timer.sleep({ delayMs: intervalMs, signal });
  }
}

async function pollOnce(opts: PollEngineOptions): Promise<void> {
  const { timer, signal, intervalMs } = opts;
  const limit = timer.startTimeLimit({ limitMs: intervalMs, parent: signal });
  const load = await readLoad(opts, limit.signal);
  limit.release();
  if (load.isOk) {
    opts.onLoad(load.value);
  } else if (!signal.aborted) {
    opts.onFailure(load.error);
  }
}

async function readLoad(
  opts: PollEngineOptions,
  signal: AbortSignal,
): Promise<Result<EngineLoad, GalenatillerError>> {
  const response = await fetchText({
    ...opts,
    path: '/load',
    method: 'GET',
    headers: {},
    body: '',
    signal,
  });
  return response.andThen(({ status, header, text }) => {
    const failure = findStatusError({ status, text });
    if (failure.isJust) {
      return Result.err(failure.value);
    }
    opts.onStartId(header('x-engine-start-id'));
    return decodeLoad(text);
  });
}
