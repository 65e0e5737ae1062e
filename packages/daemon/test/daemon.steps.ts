import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { runDaemon, type RunRole, type StopSignal } from '@galenatiller/daemon';
import type { EntrySettings } from '@galenatiller/settings';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface DaemonWorld {
  clock: ManualClock;
  hasStarted: boolean;
  exitCode: number | undefined;
  output: string;
  runEntry: RunRole<EntrySettings>;
  sendSignal: (signal: StopSignal) => void;
  reload: () => void;
  /** Text of the settings file; undefined for the one that the node started with. */
  changedSettings: string | undefined;
}

const KEY = '0123456789abcdef'.repeat(4);
const VALID_SETTINGS = `[node]
name = a
availability-zone = z1
stop-limit-ms = 500
[link]
keys = ${KEY}
[operator]
keys = ${KEY}
[platform]
store-url = http://127.0.0.1:2379
host-list-url = http://127.0.0.1:2380
`;
const INVALID_SETTINGS = VALID_SETTINGS.replace('name = a', 'nam = a');

Given(
  'a daemon whose node needs {int} ms for a graceful shutdown',
  function given(this: DaemonWorld, shutdownMs: number) {
    this.hasStarted = false;
    this.runEntry = async ({ timer, stop }) => {
      this.hasStarted = true;
      await new Promise((resolve) => {
        stop.addEventListener('abort', resolve);
      });
      await timer.sleep({ delayMs: shutdownMs });
    };
  },
);

Given('a daemon whose node fails with {string}', function given(this: DaemonWorld, reason: string) {
  this.runEntry = () => Promise.reject(new Error(reason));
});

When('the daemon is started with {string}', async function when(this: DaemonWorld, line: string) {
  this.clock = ManualClock.create({ startWallMs: 0 });
  this.output = '';
  this.changedSettings = undefined;
  const write = (text: string): void => {
    this.output += text;
  };
  runDaemon({
    args: line.split(' '),
    runEntry: this.runEntry,
    runGate: () => Promise.reject(new Error('not a gate')),
    timer: TimerService.create({ clock: this.clock }),
    subscribeToSignals: (notify) => {
      this.sendSignal = notify;
      return () => {};
    },
    subscribeToReload: (notify) => {
      this.reload = notify;
      return () => {};
    },
    readText: async (fileName) => this.changedSettings ?? (await readText(fileName)),
    writeOut: write,
    writeError: write,
  }).then(
    (exitCode) => {
      this.exitCode = exitCode;
    },
    (error: unknown) => {
      write(String(error));
    },
  );
  await this.clock.advance({ byMs: 0 });
});

When('the daemon receives {word}', async function when(this: DaemonWorld, signal: StopSignal) {
  this.sendSignal(signal);
  await this.clock.advance({ byMs: 0 });
});

When(
  'its settings file becomes {word} and the daemon is told to read it again',
  async function when(this: DaemonWorld, state: string) {
    this.changedSettings = state === 'valid' ? VALID_SETTINGS : INVALID_SETTINGS;
    this.reload();
    await this.clock.advance({ byMs: 0 });
  },
);

When('{int} ms pass for the daemon', async function when(this: DaemonWorld, byMs: number) {
  await this.clock.advance({ byMs });
  await this.clock.advance({ byMs: 0 });
});

Then('the daemon exits with {int}', function then(this: DaemonWorld, code: number) {
  assert.equal(this.exitCode, code, this.output);
});

Then('the daemon is still running', function then(this: DaemonWorld) {
  assert.equal(this.exitCode, undefined);
});

Then('the daemon has printed {string}', function then(this: DaemonWorld, text: string) {
  assert.ok(this.output.includes(text), this.output);
});

Then('its node has not started', function then(this: DaemonWorld) {
  assert.equal(this.hasStarted, false);
});

async function readText(fileName: string): Promise<string> {
  const text = new Map([
    ['right.ini', VALID_SETTINGS],
    ['wrong.ini', INVALID_SETTINGS],
  ]).get(fileName);
  return text ?? Promise.reject(new Error('no such file'));
}
