import type { EntrySettings, GateSettings, NodeSettings } from '@galenatiller/settings';
import type { Cancel, TimerService } from '@galenatiller/timer';

import { EXIT_OK, EXIT_SETTINGS } from './exitCodes.js';
import { loadSettings, type ReadText } from './loadSettings.js';
import { type DaemonCommand, parseCommandLine } from './parseCommandLine.js';
import { type SubscribeToSignals, runUntilStopped } from './runUntilStopped.js';

/** Options of a {@link RunRole} function. */
export interface RunRoleOptions<Settings extends NodeSettings> {
  readonly settings: Settings;
  readonly timer: TimerService;
  /** Aborted when the node must shut down gracefully. */
  readonly stop: AbortSignal;
}

/** Runs one role and resolves once its graceful shutdown is complete. */
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
  /** Subscribes to requests to check the settings file, and returns a function that unsubscribes. */
  readonly subscribeToReload: (notify: () => void) => Cancel;
  readonly readText: ReadText;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Runs the daemon and returns its exit code. */
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
  const unsubscribe = opts.subscribeToReload(() => {
    checkSettings(opts, command.value).catch((error: unknown) => opts.writeError(String(error)));
  });
  const exitCode = await runUntilStopped({
    run: (stop) => runRole(opts, settings.value, stop),
    stopLimitMs: settings.value.stopLimitMs,
    timer: opts.timer,
    subscribeToSignals: opts.subscribeToSignals,
    writeError: opts.writeError,
  });
  unsubscribe();
  return exitCode;
}

/** Checks the settings file and reports its problems; the node keeps the settings that it has. */
async function checkSettings(opts: RunDaemonOptions, command: DaemonCommand): Promise<void> {
  const settings = await loadSettings({ command, readText: opts.readText });
  if (settings.isErr) {
    opts.writeError(`${settings.error.detail}\n`);
    return;
  }
  opts.writeOut(`${command.settingsFile}: no problem found; changes apply after a restart.\n`);
}

function runRole(opts: RunDaemonOptions, settings: NodeSettings, stop: AbortSignal): Promise<void> {
  const { timer } = opts;
  return settings.role === 'entry'
    ? opts.runEntry({ settings, timer, stop })
    : opts.runGate({ settings, timer, stop });
}
