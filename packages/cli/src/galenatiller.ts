/** The galenatiller binary. */
import { readFile } from 'node:fs/promises';

import { systemClock, TimerService } from '@galenatiller/timer';

import { connectPlatform } from './connectPlatform.js';
import { runCli } from './runCli.js';

const timer = TimerService.create({ clock: systemClock });
const stop = new AbortController();
process.once('SIGINT', () => stop.abort());
// A reader such as `head` may close the pipe early.
process.stdout.on('error', () => stop.abort());

process.exitCode = await runCli({
  args: process.argv.slice(2),
  readText: (fileName) => readFile(fileName, 'utf8'),
  connect: (settings) => connectPlatform({ settings, timer }),
  hasColours: process.stdout.isTTY && process.env.NO_COLOR === undefined,
  stop: stop.signal,
  writeOut: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
