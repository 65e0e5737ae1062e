/** Entry point of the galenatillerd binary. */
import { readFile } from 'node:fs/promises';

import { type Cancel, systemClock, TimerService } from '@galenatiller/timer';

import type { StopSignal } from './exitCodes.js';
import { runDaemon } from './runDaemon.js';
import { runEntryRole } from './runEntryRole.js';
import { runGateRole } from './runGateRole.js';

const exitCode = await runDaemon({
  args: process.argv.slice(2),
  runEntry: runEntryRole,
  runGate: runGateRole,
  timer: TimerService.create({ clock: systemClock }),
  subscribeToSignals: onSignal,
  subscribeToReload: onReload,
  readText: (fileName) => readFile(fileName, 'utf8'),
  writeOut: (text) => {
    process.stdout.write(text);
  },
  writeError: (text) => {
    process.stderr.write(text);
  },
});
// All work has ended or exceeded the stop limit by now; open handles must not keep the process alive.
// eslint-disable-next-line n/no-process-exit
process.exit(exitCode);

function onReload(notify: () => void): Cancel {
  process.on('SIGHUP', notify);
  return () => {
    process.off('SIGHUP', notify);
  };
}

function onSignal(notify: (signal: StopSignal) => void): Cancel {
  process.on('SIGINT', notify);
  process.on('SIGTERM', notify);
  return () => {
    process.off('SIGINT', notify);
    process.off('SIGTERM', notify);
  };
}
