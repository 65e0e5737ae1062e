import type { EntrySettings, GateSettings, NodeSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';

import { EXIT_OK, EXIT_SETTINGS } from './exitCodes.js';
import { loadSettings, type ReadText } from './loadSettings.js';
import { parseCommandLine } from './parseCommandLine.js';
import { type SubscribeToSignals, runUntilStopped } from './runUntilStopped.js';

/** Options with which a role runs. */
export interface RunRoleOptions<Settings extends NodeSettings> {
  readonly settings: Settings;
  readonly timer: TimerService;
  /** Aborts when the node must stop gracefully. */
  readonly stop: AbortSignal;
}

/** Runs one role; resolves when a graceful shutdown is complete. */
export type RunRole<Settings extends NodeSettings> = (
  opts: RunRoleOptions<Settings>,
) => Promise<void>;

/** Options of {@link runDaemon}. */
export interface RunDaemonOptions {
  /** Arguments after the name of the program. */
  readonly args: readonly string[];
  readonly runEntry: RunRole<EntrySettings>;
  readonly runGate: RunRole<GateSettings>;
  readonly timer: TimerService;
  readonly subscribeToSignals: SubscribeToSignals;
  readonly readText: ReadText;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** The daemon from its command line to its exit code. */
export async function runDaemon(opts: RunDaemonOptions): Promise<number> {
  const command = parseCommandLine(opts);
  if (command.isErr) {
    return command.error;
  }
  const settings = await loadSettings({ command: command.value, readText: opts.readText });
  if (settings.isErr) {
    opts.writeError(`${settings.error.detail}\n`);
    return EXIT_SETTINGS;
  }
  if (command.value.checkOnly) {
    opts.writeOut(`${command.value.settingsFile}: no problem found.\n`);
    return EXIT_OK;
  }
  return runUntilStopped({
    run: (stop) => runRole(opts, settings.value, stop),
    stopLimitMs: settings.value.stopLimitMs,
    timer: opts.timer,
    subscribeToSignals: opts.subscribeToSignals,
    writeError: opts.writeError,
  });
}

function runRole(opts: RunDaemonOptions, settings: NodeSettings, stop: AbortSignal): Promise<void> {
  const { timer } = opts;
  return settings.role === 'entry'
    ? opts.runEntry({ settings, timer, stop })
    : opts.runGate({ settings, timer, stop });
}
