import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readdir, readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { type HostileForm, HostileCallers } from '@galenatiller/fakes';
import { request } from 'undici';

import { CleanUps } from './support/cleanUps.js';
import { type HostileFront, startEntryFront, startRouterFront } from './support/hostileFronts.js';

interface HostileWorld {
  /** What the scenario has opened. */
  opened: CleanUps;
  front: HostileFront;
  crowd: HostileCallers;
  /** What the machine of the process has. */
  memoryMb: number;
  maxDescriptors: number;
  openDescriptors: number;
  answer: string;
}

const KB_PER_MB = 1_024;
const POLL_MS = 50;

/** The crowd sends for this long at most; its connections stay open after that. */
const CROWD_MS = 1_500;

/** Only a process that hangs leaves an ordinary caller without an answer for so long. */
const MAX_ANSWER_MS = 20_000;
const STEP_OPTIONS = { timeout: 60_000 };

Given(
  /^(a router|an entry) on a machine with (\d+) MB of memory and (\d+) descriptors$/,
  STEP_OPTIONS,
  async function given(this: HostileWorld, kind: string, memoryMb: string, descriptors: string) {
    this.memoryMb = Number(memoryMb);
    this.maxDescriptors = Number(descriptors);
    const start = kind === 'a router' ? startRouterFront : startEntryFront;
    this.opened = CleanUps.create();
    this.front = await start(this, this.opened);
    this.openDescriptors = 0;
  },
);

When(
  /^(\d+) hostile callers (?:of the (\w+) port )?send (.+)$/,
  STEP_OPTIONS,
  async function when(this: HostileWorld, callers: string, port: string | null, forms: string) {
    const { front } = this;
    this.crowd = HostileCallers.start({
      ...front.sending,
      port: front.ports[port ?? 'callers'] ?? 0,
      callers: Number(callers),
      forms: forms.split(', ') as HostileForm[],
    });
    this.opened.add(() => this.crowd.close());
    const stopTimeout = new AbortController();
    this.opened.add(() => stopTimeout.abort());
    const timeout = sleep(CROWD_MS, undefined, stopTimeout);
    let isOver = false;
    Promise.race([this.crowd.sent, timeout]).then(
      () => {
        isOver = true;
      },
      () => {},
    );
    while (!isOver) {
      await countDescriptors(this);
      await sleep(POLL_MS);
    }
    await countDescriptors(this);
  },
);

async function countDescriptors(world: HostileWorld): Promise<void> {
  const open = await readdir(`/proc/${world.front.process.pid}/fd`).catch(() => []);
  world.openDescriptors = Math.max(world.openDescriptors, open.length);
}

Then('an ordinary request is answered', STEP_OPTIONS, async function then(this: HostileWorld) {
  const untilMs = performance.now() + MAX_ANSWER_MS;
  let outcome = '';
  while (outcome !== '200' && performance.now() < untilMs) {
    outcome = await sendOrdinary(this.front);
    await sleep(POLL_MS);
  }
  assert.equal(outcome, '200');
});

/** Sends one ordinary request on a connection of its own; returns its status or why it has none. */
async function sendOrdinary({ ports, sending, headers }: HostileFront): Promise<string> {
  try {
    const response = await request(`http://127.0.0.1:${ports.callers}${sending.path}`, {
      method: 'POST',
      body: sending.body,
      headers: { ...headers, connection: 'close' },
      signal: AbortSignal.timeout(MAX_ANSWER_MS),
    });
    await response.body.dump();
    return String(response.statusCode);
  } catch (error) {
    return String(error);
  }
}

Then(
  'the process lives, within the memory and the descriptors of its machine',
  async function then(this: HostileWorld) {
    const { front, memoryMb, maxDescriptors, openDescriptors } = this;
    assert.equal(front.process.exitCode ?? front.process.signalCode, null, front.readErrors());
    const peakMb = await readPeakMb(front);
    assert.ok(peakMb <= memoryMb, `${peakMb} MB`);
    assert.ok(openDescriptors <= maxDescriptors, `${openDescriptors} descriptors`);
  },
);

When(
  /^one caller sends (\d+) bytes (?:with a length|in chunks of (\d+))$/,
  STEP_OPTIONS,
  async function when(this: HostileWorld, bytes: string, chunkBytes: string | null) {
    const socket = connect(this.front.ports.callers ?? 0, '127.0.0.1');
    this.opened.add(() => socket.destroy());
    this.answer = await sendLargest(socket, this.front, Number(bytes), Number(chunkBytes ?? 0));
  },
);

/** Sends a body over a connection, in chunks if their size isn't 0; returns the start of the answer. */
async function sendLargest(
  socket: Socket,
  front: HostileFront,
  bytes: number,
  chunkBytes: number,
): Promise<string> {
  const named = Object.entries(front.headers).map(([name, value]) => `${name}: ${value}`);
  const framing = chunkBytes > 0 ? 'Transfer-Encoding: chunked' : `Content-Length: ${bytes}`;
  const { path, headers } = front.sending;
  const head = [`POST ${path} HTTP/1.1`, ...headers, ...named, framing, '', ''];
  socket.write(head.join('\r\n'));
  const chunk = `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`;
  const chunked = (): string => `${chunk.repeat(bytes / chunkBytes)}0\r\n\r\n`;
  socket.write(chunkBytes > 0 ? chunked() : 'a'.repeat(bytes));
  const [answer] = (await once(socket, 'data')) as [Buffer];
  return answer.toString('latin1');
}

Then('that request is answered with {int}', function then(this: HostileWorld, status: number) {
  assert.ok(this.answer.startsWith(`HTTP/1.1 ${status} `), this.answer);
});

async function readPeakMb({ process: child }: HostileFront): Promise<number> {
  const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
  return Math.round(Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / KB_PER_MB);
}

After(
  { tags: '@hostile', ...STEP_OPTIONS },
  async function after(this: Partial<HostileWorld>, { pickle, result }) {
    if (this.front && process.env.PRINT_FIGURES) {
      const peakMb = await readPeakMb(this.front).catch(() => 'none');
      const figures = `${peakMb} MB, ${this.openDescriptors} descriptors`;
      process.stderr.write(`${pickle.name}: ${figures}, ${result?.status}\n`);
    }
    await this.opened?.runAll();
  },
);
