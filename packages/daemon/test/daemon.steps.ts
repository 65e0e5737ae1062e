import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { runDaemon, type RunRole, type StopSignal } from '@galenatiller/daemon';
import type { EntrySettings } from '@galenatiller/settings';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface DaemonWorld {
  clock: ManualClock;
  started: boolean;
  exitCode: number | undefined;
  written: string;
  runEntry: RunRole<EntrySettings>;
  sendSignal: (signal: StopSignal) => void;
}

const KEY = '0123456789abcdef'.repeat(4);
const RIGHT = `[node]
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
const WRONG = RIGHT.replace('name = a', 'nam = a');

Given(
  'a daemon whose node needs {int} ms for a graceful shutdown',
  function given(this: DaemonWorld, shutdownMs: number) {
    this.started = false;
    this.runEntry = async ({ timer, stop }) => {
      this.started = true;
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

When('the daemon is called with {string}', async function when(this: DaemonWorld, line: string) {
  this.clock = ManualClock.create({ startWallMs: 0 });
  this.written = '';
  const write = (text: string): void => {
    this.written += text;
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
    readText: (fileName) => readText(fileName),
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

When('the daemon gets {word}', async function when(this: DaemonWorld, signal: StopSignal) {
  this.sendSignal(signal);
  await this.clock.advance({ byMs: 0 });
});

When('{int} ms pass for the daemon', async function when(this: DaemonWorld, byMs: number) {
  await this.clock.advance({ byMs });
  await this.clock.advance({ byMs: 0 });
});

Then('the daemon exits with {int}', function then(this: DaemonWorld, code: number) {
  assert.equal(this.exitCode, code, this.written);
});

Then('the daemon still runs', function then(this: DaemonWorld) {
  assert.equal(this.exitCode, undefined);
});

Then('the daemon has written {string}', function then(this: DaemonWorld, text: string) {
  assert.ok(this.written.includes(text), this.written);
});

Then('its node has not started', function then(this: DaemonWorld) {
  assert.equal(this.started, false);
});

async function readText(fileName: string): Promise<string> {
  const text = new Map([
    ['right.ini', RIGHT],
    ['wrong.ini', WRONG],
  ]).get(fileName);
  return text ?? Promise.reject(new Error('no such file'));
}
