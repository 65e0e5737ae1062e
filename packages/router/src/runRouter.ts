import type { EventLog } from '@galenatiller/logger';
import { whenAborted } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import type { Router } from './createRouter.js';

/** The servers of a front end. */
export interface FrontEnd {
  /** Tells callers not to reuse their connections. */
  readonly startClosing: () => void;
  /** Accepts no new connections, and refuses calls that arrive on open ones. */
  readonly stopAccepting: () => void;
  /** Whether responses wait to be written to their connections. */
  readonly hasUnsentData: () => boolean;
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

/**
 * The load balancer checks readiness every second and sends new callers until two checks failed. Callers
 * that come later than this count on an answer even if the process ends.
 */
const DEREGISTRATION_DELAY_MS = 2_900;

/** Share of the time until the calls end in which calls are taken at most, so that they can end. */
const MAX_TAKING_SHARE = 0.45;

/** Time reserved before the process is killed, in which its last responses are sent. */
const STOP_MARGIN_MS = 900;

/** The most that this may be of the whole time. */
const MAX_MARGIN_SHARE = 0.16;

/** Part of the margin in which responses are written; the rest is for the end of the process. */
const FLUSH_SHARE = 0.45;

/** How often it is checked what is in progress. */
const POLL_MS = 50;

/** Runs a router until it is asked to stop, then lets the calls in progress end. */
export async function runRouter(opts: RunRouterOptions): Promise<void> {
  const { router, timer, log, stop } = opts;
  const abort = new AbortController();
  const running = router.run({ signal: abort.signal });
  const frontEnd = await opts.open();
  log({ about: 'process', event: 'started', outcome: 'listening' });
  await whenAborted(stop);
  const stoppedAtMs = timer.nowMs();
  log({
    about: 'process',
    event: 'stopping',
    callsInProgress: router.callsInProgress(),
    outcome: 'no longer ready',
  });
  const { takingMs, endMs, flushMs } = planStop(opts.stopLimitMs);
  const endsAtMs = stoppedAtMs + endMs;
  frontEnd.startClosing();
  router.stop({ endsAtMs });
  await timer.sleep({ delayMs: takingMs });
  frontEnd.stopAccepting();
  const hasCalls = (): boolean => router.callsInProgress() > 0;
  await waitWhile(opts, endsAtMs, () => hasCalls() || router.batchesInProgress() > 0);
  router.leave();
  await waitWhile(opts, endsAtMs + flushMs, () => hasCalls() || frontEnd.hasUnsentData());
  log({
    about: 'process',
    event: 'stopped',
    tookMs: Math.round(timer.nowMs() - stoppedAtMs),
    callsInProgress: router.callsInProgress(),
    outcome: router.callsInProgress() > 0 ? 'calls were aborted' : 'all calls have ended',
  });
  frontEnd.close();
  abort.abort();
  await running;
}

/** The parts of a stop, each since its begin. */
interface StopPlan {
  /** How long calls are taken. */
  readonly takingMs: number;
  /** When all calls end. */
  readonly endMs: number;
  /** How long their responses are written after that. */
  readonly flushMs: number;
}

/** Plans a stop, so that calls which are taken have time to end also when the limit is short. */
function planStop(limitMs: number): StopPlan {
  const marginMs = Math.min(STOP_MARGIN_MS, MAX_MARGIN_SHARE * limitMs);
  const endMs = limitMs - marginMs;
  return {
    takingMs: Math.min(DEREGISTRATION_DELAY_MS, MAX_TAKING_SHARE * endMs),
    endMs,
    flushMs: FLUSH_SHARE * marginMs,
  };
}

/** Waits while something is true, until a monotonic time. */
async function waitWhile(
  { timer }: Pick<RunRouterOptions, 'timer'>,
  untilMs: number,
  isTrue: () => boolean,
): Promise<void> {
  while (timer.nowMs() < untilMs && isTrue()) {
    await timer.sleep({ delayMs: POLL_MS });
  }
}
