import type { Cancel, TimerService } from '@galenatiller/timer';

import {
  SECOND_SIGNAL_EXIT_CODES,
  EXIT_FAILURE,
  EXIT_OK,
  EXIT_STOP_TIMEOUT,
  type StopSignal,
} from './exitCodes.js';

/** Subscribes to the signals that ask for a stop. */
export type SubscribeToSignals = (notify: (signal: StopSignal) => void) => Cancel;

/** Options of {@link runUntilStopped}. */
export interface RunUntilStoppedOptions {
  /** Runs the node; resolves when the graceful shutdown that `stop` asks for is complete. */
  readonly run: (stop: AbortSignal) => Promise<void>;
  readonly stopLimitMs: number;
  readonly timer: TimerService;
  readonly subscribeToSignals: SubscribeToSignals;
  readonly writeError: (text: string) => void;
}

/** Runs a node until it is stopped by a signal; gives the exit code. */
export async function runUntilStopped(opts: RunUntilStoppedOptions): Promise<number> {
  const stop = new AbortController();
  const ended = runToEnd(opts, stop.signal);
  let cancelLimit: Cancel = () => {};
  let cancelSignals: Cancel = () => {};
  const cut = new Promise<number>((resolve) => {
    cancelSignals = opts.subscribeToSignals((signal) => {
      if (stop.signal.aborted) {
        resolve(SECOND_SIGNAL_EXIT_CODES[signal]);
        return;
      }
      cancelLimit = opts.timer.after({
        delayMs: opts.stopLimitMs,
        notify: () => {
          opts.writeError(`The stop limit of ${opts.stopLimitMs} ms cut what still ran.\n`);
          resolve(EXIT_STOP_TIMEOUT);
        },
      });
      stop.abort();
    });
  });
  const exitCode = await Promise.race([ended, cut]);
  cancelLimit();
  cancelSignals();
  return exitCode;
}

async function runToEnd(opts: RunUntilStoppedOptions, stop: AbortSignal): Promise<number> {
  try {
    await opts.run(stop);
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown reason';
    opts.writeError(`The node failed: ${reason}\n`);
    return EXIT_FAILURE;
  }
  if (stop.aborted) {
    return EXIT_OK;
  }
  opts.writeError('The node ended without being asked to.\n');
  return EXIT_FAILURE;
}
