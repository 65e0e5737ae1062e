import type { TimerService } from '@galenatiller/timer';

import type { StageStartDecision } from './admission/index.js';

/** Options of {@link waitForStart}. */
export interface WaitForStartOptions {
  readonly position: number;
  /** Whether a stage whose dependencies are done may start, as far as is known now. */
  readonly decideStart: (position: number) => StageStartDecision;
  /** Time for which a stage that may start should still wait, as far as is known now. */
  readonly startDelayMs: (position: number) => number;
  /** Called once for a stage that is held. */
  readonly onStageHeld: (position: number) => void;
  readonly nowMs: () => number;
  readonly sleep: TimerService['sleep'];
  readonly signal: AbortSignal;
}

/** How the wait of a stage for its start ended; also `started` when the signal aborted. */
export type StageStartEnd =
  { readonly kind: 'started'; readonly waitedMs: number } | { readonly kind: 'given-up' };

/** What a wait depends on may change earlier than expected, which is noticed within this time. */
const CHECK_INTERVAL_MS = 100;

/** Waits until a stage should start or is given up, or until the signal aborts. */
export async function waitForStart(opts: WaitForStartOptions): Promise<StageStartEnd> {
  const { signal, position } = opts;
  const readyAtMs = opts.nowMs();
  let isHeld = false;
  while (!signal.aborted) {
    const decision = opts.decideStart(position);
    if (decision === 'give-up') {
      return { kind: 'given-up' };
    }
    if (decision === 'hold' && !isHeld) {
      isHeld = true;
      opts.onStageHeld(position);
    }
    const waitMs = decision === 'hold' ? CHECK_INTERVAL_MS : opts.startDelayMs(position);
    if (waitMs <= 0) {
      break;
    }
    await opts.sleep({ delayMs: Math.min(Math.ceil(waitMs), CHECK_INTERVAL_MS), signal });
  }
  return { kind: 'started', waitedMs: opts.nowMs() - readyAtMs };
}
