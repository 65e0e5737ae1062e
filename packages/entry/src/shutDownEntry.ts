import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import type { Entry } from './createEntry.js';

/** Options of {@link shutDownEntry}. */
export interface ShutDownEntryOptions {
  readonly entry: Entry;
  /** The running calls, one task each. */
  readonly calls: TaskGroup;
  readonly timer: TimerService;
  /** Stops accepting connections and closes idle ones. */
  readonly stopAccepting: () => void;
}

/** Time for the load balancer to notice that the entry is no longer ready. */
const READINESS_NOTICE_MS = 500;

/** Shuts an entry down gracefully: resolves once its running calls have ended. */
export async function shutDownEntry(opts: ShutDownEntryOptions): Promise<void> {
  const { entry, calls, timer } = opts;
  entry.beginShutdown();
  await timer.sleep({ delayMs: Math.min(READINESS_NOTICE_MS, entry.shutdown.remainingMs) });
  opts.stopAccepting();
  await calls.drain();
  // Connections that became idle since would bring requests while the process ends.
  opts.stopAccepting();
  await calls.drain();
  await entry.finishShutdown();
}
