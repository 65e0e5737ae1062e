/** The galenatillerd binary. */
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
  readText: (fileName) => readFile(fileName, 'utf8'),
  writeOut: (text) => {
    process.stdout.write(text);
  },
  writeError: (text) => {
    process.stderr.write(text);
  },
});
// Whatever still runs has been cut by now; open handles must not hold the process.
// eslint-disable-next-line n/no-process-exit
process.exit(exitCode);

function onSignal(notify: (signal: StopSignal) => void): Cancel {
  process.on('SIGINT', notify);
  process.on('SIGTERM', notify);
  return () => {
    process.off('SIGINT', notify);
    process.off('SIGTERM', notify);
  };
}
