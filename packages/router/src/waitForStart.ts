import type { TimerService } from '@galenatiller/timer';
import type { StageHold } from '@galenatiller/types';

import type { StageStartDecision } from './admission/index.js';

/** Options of {@link waitForStart}. */
export interface WaitForStartOptions {
  readonly position: number;
  /** Whether a stage whose dependencies are done may start, as far as is known now. */
  readonly decideStart: (position: number) => StageStartDecision;
  /** Time for which a stage that may start should still wait, as far as is known now. */
  readonly startDelayMs: (position: number) => number;
  /** Called once for each reason for which a stage is held. */
  readonly onStageHeld: (position: number, hold: StageHold) => void;
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
  const holds = new Set<StageHold>();
  while (!signal.aborted) {
    const decision = opts.decideStart(position);
    if (decision.kind === 'give-up') {
      return { kind: 'given-up' };
    }
    if (decision.kind === 'hold' && !holds.has(decision.hold)) {
      holds.add(decision.hold);
      opts.onStageHeld(position, decision.hold);
    }
    const waitMs = decision.kind === 'hold' ? CHECK_INTERVAL_MS : opts.startDelayMs(position);
    if (waitMs <= 0) {
      break;
    }
    await opts.sleep({ delayMs: Math.min(Math.ceil(waitMs), CHECK_INTERVAL_MS), signal });
  }
  return { kind: 'started', waitedMs: opts.nowMs() - readyAtMs };
}
