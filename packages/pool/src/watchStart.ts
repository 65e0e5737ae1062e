import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, RegisteredTarget } from '@galenatiller/types';

import { type BatchOutcome, beginsAtOnce } from './beginsAtOnce.js';
import type { ResultMemory } from './resultMemory.js';
import type { TakenPiece } from './takeOptions.js';
import { type FindWorkerLoad, isStatedSlow } from './workerLoad.js';
import type { WorkerSpeed } from './workerSpeed.js';

/** Options of {@link watchStart}. */
export interface WatchStartOptions {
  readonly timer: TimerService;
  readonly target: RegisteredTarget;
  readonly resultMemory: Pick<ResultMemory, 'availableBytes'>;
  readonly senders: () => number;
  readonly workerSpeed: Pick<WorkerSpeed, 'minWaitMs'>;
  readonly findLoad?: FindWorkerLoad | undefined;
  readonly limits: BatchLimits;
  readonly taken: readonly Pick<TakenPiece, 'onBegun'>[];
  readonly lastOutcome: BatchOutcome;
}

/**
 * Time after which a batch call that began when it arrived has fetched its inputs: a full call fetches about
 * 20 MB over a link of 10 Gbit/s, beside those of other workers.
 */
const FETCHED_AFTER_MS = 80;

/** Says that the pieces of a batch call have begun, once their inputs have surely been fetched. */
export function watchStart(opts: WatchStartOptions): {
  readonly isBegun: () => boolean;
  readonly release: () => void;
} {
  const { timer, limits, taken, lastOutcome } = opts;
  const { address } = opts.target;
  let isBegun = false;
  const senders = opts.senders();
  const isCertain =
    taken.some(({ onBegun }) => onBegun) &&
    beginsAtOnce({
      senders,
      lastOutcome,
      isSlow: opts.workerSpeed.minWaitMs(address) > 0 || isStatedSlow(opts.findLoad?.()),
      limits,
      leftBytes: opts.resultMemory.availableBytes({ address, limits, share: 1 / senders }),
    });
  if (!isCertain) {
    return { isBegun: () => false, release: () => {} };
  }
  const release = timer.after({
    delayMs: FETCHED_AFTER_MS,
    notify: () => {
      isBegun = true;
      taken.forEach(({ onBegun }) => onBegun?.());
    },
  });
  return { isBegun: () => isBegun, release };
}
