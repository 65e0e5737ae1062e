import type { EventLog } from '@galenatiller/logger';
import { whenAborted } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import type { Router } from './createRouter.js';

/** Servers of a front end. */
export interface FrontEnd {
  /** Tells callers not to come again on their connections. */
  readonly startClosing: () => void;
  /** Takes no new connections, and refuses what still comes on open ones. */
  readonly stopAccepting: () => void;
  readonly close: () => void;
}

/** Options of {@link runRouter}. */
export interface RunRouterOptions {
  readonly router: Router;
  readonly timer: TimerService;
  readonly log: EventLog;
  /** Opens the servers of the front end. */
  readonly open: () => Promise<FrontEnd>;
  /** Aborts when the process has been asked to stop. */
  readonly stop: AbortSignal;
  /** Time after which the process is killed. */
  readonly stopLimitMs: number;
}

/** The balancer asks once a second and sends new callers until two questions went without success. */
const STAY_OPEN_MS = 3_200;

/** Kept free before the process is killed, for its last answers to leave. */
const STOP_MARGIN_MS = 700;

/** How often the end of the last call is looked for. */
const CHECK_MS = 50;

/** Runs a router until it is asked to stop, then lets the calls in progress end. */
export async function runRouter(opts: RunRouterOptions): Promise<void> {
  const { router, timer, log, stop } = opts;
  const ended = new AbortController();
  const following = router.run({ signal: ended.signal });
  const frontEnd = await opts.open();
  log({ about: 'process', event: 'started', outcome: 'listening' });
  await whenAborted(stop);
  const stoppedAtMs = timer.nowMs();
  log({
    about: 'process',
    event: 'stopping',
    callsInProgress: router.callsInProgress(),
    outcome: 'not ready any more',
  });
  frontEnd.startClosing();
  router.leave();
  await timer.sleep({ delayMs: STAY_OPEN_MS });
  frontEnd.stopAccepting();
  const untilMs = stoppedAtMs + opts.stopLimitMs - STOP_MARGIN_MS;
  while (timer.nowMs() < untilMs && router.callsInProgress() > 0) {
    await timer.sleep({ delayMs: CHECK_MS });
  }
  log({
    about: 'process',
    event: 'stopped',
    tookMs: Math.round(timer.nowMs() - stoppedAtMs),
    callsInProgress: router.callsInProgress(),
    outcome: router.callsInProgress() > 0 ? 'calls were cut' : 'every call has ended',
  });
  frontEnd.close();
  ended.abort();
  await following;
}
