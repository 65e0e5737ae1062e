import { GalenatillerError } from '@galenatiller/error';
import { type OnTargetNotice, sendRequest, createTransportError } from '@galenatiller/http';
import type { TimerService } from '@galenatiller/timer';

import type { CacheEvent } from './prefixCacheTracker.js';
import { readCacheEvents } from './wireEngine.js';

/** Options of {@link followCacheEvents}. */
export interface FollowCacheEventsOptions {
  /** Base URL of the engine. */
  readonly url: string;
  readonly timer: TimerService;
  /** Aborting it ends the task. */
  readonly signal: AbortSignal;
  /** Delay between the end of a stream and the next attempt. */
  readonly retryDelayMs: number;
  readonly onEvent: (event: CacheEvent) => void;
  /** Called with the reason when a stream ended; events are lost until the next stream opens. */
  readonly onFailure: (error: GalenatillerError) => void;
  readonly onNotice?: OnTargetNotice;
}

/** Follows the cache events of an engine, and reconnects, until the signal aborts. */
export async function followCacheEvents(opts: FollowCacheEventsOptions): Promise<void> {
  const { timer, signal, retryDelayMs } = opts;
  while (!signal.aborted) {
    const failure = await followStream(opts);
    if (!signal.aborted) {
      opts.onFailure(failure);
    }
    await timer.sleep({ delayMs: retryDelayMs, signal });
  }
}

/** Reads one stream to its end and returns the reason why it ended. */
async function followStream(opts: FollowCacheEventsOptions): Promise<GalenatillerError> {
  const { signal } = opts;
  const opened = await sendRequest({
    ...opts,
    path: '/cache-events',
    method: 'GET',
    headers: { accept: 'text/event-stream' },
    body: '',
  });
  if (opened.isErr) {
    return opened.error;
  }
  try {
    for await (const event of readCacheEvents(opened.value.body)) {
      if (event.isErr) {
        return event.error;
      }
      opts.onEvent(event.value);
    }
  } catch (cause) {
    return createTransportError({ cause, signal });
  }
  return GalenatillerError.create({
    name: 'stream-broken',
    detail: 'the stream of cache events ended',
  });
}
