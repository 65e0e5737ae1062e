import type { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';

import { fetchHosts } from './fetchHosts.js';

/** Options of {@link pollHosts}. */
export interface PollHostsOptions {
  /** Base URL of the host list. */
  readonly url: string;
  readonly timer: TimerService;
  /** Aborting it ends the task. */
  readonly signal: AbortSignal;
  readonly intervalMs: number;
  readonly onHosts: (hosts: readonly Host[]) => void;
  /** Called for each failed fetch; the last hosts stay in use. */
  readonly onFailure?: (error: GalenatillerError) => void;
}

/** Polls the host list until the signal aborts. */
export async function pollHosts(opts: PollHostsOptions): Promise<void> {
  const { timer, signal, intervalMs } = opts;
  while (!signal.aborted) {
    const limit = timer.startTimeLimit({ limitMs: intervalMs, parent: signal });
    const hosts = await fetchHosts({ url: opts.url, signal: limit.signal });
    limit.release();
    if (hosts.isOk) {
      opts.onHosts(hosts.value);
    } else if (!signal.aborted) {
      opts.onFailure?.(hosts.error);
    }
    await timer.sleep({ delayMs: intervalMs, signal });
  }
}
