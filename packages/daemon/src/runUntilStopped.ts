import type { Cancel, TimerService } from '@galenatiller/timer';

import {
  SECOND_SIGNAL_EXIT_CODES,
  EXIT_FAILURE,
  EXIT_OK,
  EXIT_STOP_TIMEOUT,
  type StopSignal,
} from './exitCodes.js';

/** Subscribes to stop signals and returns a function that unsubscribes. */
export type SubscribeToSignals = (notify: (signal: StopSignal) => void) => Cancel;

/** Options of {@link runUntilStopped}. */
export interface RunUntilStoppedOptions {
  /** Runs the node; resolves once the graceful shutdown, which `stop` triggers, is complete. */
  readonly run: (stop: AbortSignal) => Promise<void>;
  readonly stopLimitMs: number;
  readonly timer: TimerService;
  readonly subscribeToSignals: SubscribeToSignals;
  readonly writeError: (text: string) => void;
}

/** Runs a node until it ends or is stopped by signals, and returns the exit code. */
export async function runUntilStopped(opts: RunUntilStoppedOptions): Promise<number> {
  const stop = new AbortController();
  const completed = runToCompletion(opts, stop.signal);
  let cancelStopLimit: Cancel = () => {};
  let unsubscribe: Cancel = () => {};
  const interrupted = new Promise<number>((resolve) => {
    unsubscribe = opts.subscribeToSignals((signal) => {
      if (stop.signal.aborted) {
        resolve(SECOND_SIGNAL_EXIT_CODES[signal]);
        return;
      }
      cancelStopLimit = opts.timer.after({
        delayMs: opts.stopLimitMs,
        notify: () => {
          opts.writeError(
            `The graceful shutdown exceeded the stop limit of ${opts.stopLimitMs} ms.\n`,
          );
          resolve(EXIT_STOP_TIMEOUT);
        },
      });
      stop.abort();
    });
  });
  const exitCode = await Promise.race([completed, interrupted]);
  cancelStopLimit();
  unsubscribe();
  return exitCode;
}

async function runToCompletion(opts: RunUntilStoppedOptions, stop: AbortSignal): Promise<number> {
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
  opts.writeError('The node ended without a stop signal.\n');
  return EXIT_FAILURE;
}
