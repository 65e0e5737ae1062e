import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { Duplex } from 'node:stream';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { readAll, sendRequest, TargetConnectionPool } from '@galenatiller/http';
import { whenPolled } from '@galenatiller/tasks';
import { ManualClock, systemClock, TimerService } from '@galenatiller/timer';

import { confirmEnd } from '../src/confirmEnd.js';

/** A response, or why there is none. */
type Answer =
  | { readonly kind: 'complete'; readonly status: number; readonly text: string }
  | { readonly kind: 'interrupted' | 'broken' };

interface EarlyAnswerWorld {
  earlyServer: Server;
  earlySockets: Socket[];
  requestBytes: number;
  answers: Answer[];
}

const WHOLE = 'the whole body of the response';
const PART = WHOLE.slice(0, 12);
const LATE_RESET_MS = 200;

async function listen(
  world: EarlyAnswerWorld,
  serve: (socket: Socket) => void,
  requestBytes = 10,
): Promise<void> {
  world.requestBytes = requestBytes;
  world.earlySockets = [];
  world.answers = [];
  world.earlyServer = createServer({ allowHalfOpen: true }, (socket) => {
    world.earlySockets.push(socket);
    socket.on('error', () => {});
    serve(socket);
  });
  await once(world.earlyServer.listen(0, '127.0.0.1'), 'listening');
}

After({ tags: '@earlyAnswers' }, function after(this: Partial<EarlyAnswerWorld>) {
  this.earlySockets?.forEach((socket) => socket.destroy());
  this.earlyServer?.close();
});

/** Breaks off in the same turn as the write, so that client reads the data and the end at once. */
const BREAKS: Readonly<Record<string, (socket: Socket) => void>> = {
  'resets at once': (socket) => socket.resetAndDestroy(),
  'closes at once': (socket) => socket.destroy(),
  'closes its side, and resets 200 ms later': (socket) => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS);
  },
};

Given(
  /^a target that reads only the head of a request of (\d+) bytes, responds with a part, and (.*)$/,
  function given(this: EarlyAnswerWorld, bytes: string, ends: string) {
    const breakOff = BREAKS[ends] ?? assert.fail(ends);
    return listen(
      this,
      (socket) => {
        socket.once('data', () => {
          socket.pause();
          socket.write(`HTTP/1.1 200 OK\r\n\r\n${PART}`);
          breakOff(socket);
        });
      },
      Number(bytes),
    );
  },
);

/** Calls back once the head and the body of a request have been read; reads on after that. */
function whenRead(socket: Socket, bodyBytes: number, notify: () => void): void {
  let text = '';
  socket.on('data', (bytes) => {
    const isRead =
      text.length >= text.indexOf('\r\n\r\n') + 4 + bodyBytes && text.includes('\r\n\r\n');
    text += bytes.toString('latin1');
    const headEnd = text.indexOf('\r\n\r\n');
    if (!isRead && headEnd !== -1 && text.length >= headEnd + 4 + bodyBytes) {
      notify();
    }
  });
}

const ORDERLY: Readonly<Record<string, (socket: Socket, bodyBytes: number) => void>> = {
  'after reading it, and closes': (socket, bodyBytes) => {
    whenRead(socket, bodyBytes, () => {
      socket.end(`HTTP/1.1 413 Large\r\n\r\n${WHOLE}`);
      socket.on('end', () => socket.destroy());
    });
  },
  'before reading it, closes its side, and reads on': (socket) => {
    socket.once('data', () => {
      socket.end(`HTTP/1.1 413 Large\r\n\r\n${WHOLE}`);
      socket.resume();
      socket.on('end', () => socket.destroy());
    });
  },
  'before reading it with a length, and reads on': (socket) => {
    socket.once('data', () => {
      socket.write(`HTTP/1.1 413 Large\r\nContent-Length: ${WHOLE.length}\r\n\r\n${WHOLE}`);
      socket.resume();
    });
  },
};

Given(
  /^a target that responds to a request of (\d+) bytes (.*)$/,
  function given(this: EarlyAnswerWorld, bytes: string, how: string) {
    const serve = ORDERLY[how] ?? assert.fail(how);
    return listen(this, (socket) => serve(socket, Number(bytes)), Number(bytes));
  },
);

Given(
  /^a target that responds with the status (\d+)$/,
  function given(this: EarlyAnswerWorld, status: string) {
    return listen(this, (socket) => {
      socket.once('data', () => socket.end(`HTTP/1.1 ${status} Status\r\n\r\n${WHOLE}`));
    });
  },
);

async function readAnswer(status: number, body: AsyncIterable<Buffer>): Promise<Answer> {
  try {
    const bytes = await readAll({ body, maxBytes: 1_000 });
    return { kind: 'complete', status, text: bytes.toString() };
  } catch {
    // The caller would get an error, or a response that is cut.
    return { kind: 'interrupted' };
  }
}

function getAddress({ earlyServer }: EarlyAnswerWorld): string {
  const bound = earlyServer.address();
  return `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
}

async function sendByPool(world: EarlyAnswerWorld): Promise<Answer> {
  const timer = TimerService.create({ clock: systemClock });
  const pool = TargetConnectionPool.create({ timer, connectLimitMs: 400, onOpened: () => {} });
  const address = getAddress(world);
  const response = await pool.exchange({
    address,
    method: 'POST',
    path: '/',
    headers: ['Host', address],
    body: Buffer.alloc(world.requestBytes, 'x'),
    id: '',
    isConnectionNew: false,
    signal: AbortSignal.timeout(5_000),
  });
  if (response.kind !== 'answered') {
    assert.equal(response.kind, 'broken');
    return { kind: 'broken' };
  }
  const answer = await readAnswer(response.status, response.body);
  pool.closeAllIdle();
  return answer;
}

async function sendPlain(world: EarlyAnswerWorld): Promise<Answer> {
  const response = await sendRequest({
    url: `http://${getAddress(world)}`,
    path: '/',
    method: 'POST',
    headers: {},
    body: 'x'.repeat(world.requestBytes),
    isConnectionNew: true,
    signal: AbortSignal.timeout(5_000),
  });
  if (response.isErr) {
    assert.equal(response.error.codeName, 'stream-broken');
    assert.equal(response.error.outcome, 'may-have-run');
    return { kind: 'broken' };
  }
  return readAnswer(response.value.status, response.value.body);
}

When(
  /^a (connection pool|plain request) sends (\d+) requests? to it$/,
  { timeout: 30_000 },
  async function when(this: EarlyAnswerWorld, client: string, requests: string) {
    const send = client === 'connection pool' ? sendByPool : sendPlain;
    for (let request = 0; request < Number(requests); request += 1) {
      this.answers.push(await send(this));
    }
  },
);

Then('none of the responses is complete', function then(this: EarlyAnswerWorld) {
  const complete = this.answers.filter(({ kind }) => kind === 'complete');
  assert.deepEqual(complete, [], `${complete.length} of ${this.answers.length}`);
});

Then(
  'each of the responses is complete with the status {int}',
  function then(this: EarlyAnswerWorld, status: number) {
    this.answers.forEach((answer) => {
      assert.deepEqual(answer, { kind: 'complete', status, text: WHOLE });
    });
  },
);

Then('the request is broken', function then(this: EarlyAnswerWorld) {
  assert.deepEqual(this.answers, [{ kind: 'broken' }]);
});

interface FakeSocketWorld {
  clock: ManualClock;
  socket: Duplex;
  seen: string[];
}

/** Time after the end from which on writes fail; never if it is infinite. */
function findFailure(writes: string): { readonly failsAfterMs: number; readonly heldMs: number } {
  const afterMs = Number(/fail (\d+) ms after/.exec(writes)?.[1] ?? 0);
  const fails = writes.includes('fail');
  return {
    failsAfterMs: fails ? afterMs : Infinity,
    heldMs: writes.startsWith('are held back') ? 50 : 0,
  };
}

Given(
  /^a socket whose writes (.*), and that is to stand for (\d+) ms after its end$/,
  function given(this: FakeSocketWorld, writes: string, holdMs: string) {
    const { failsAfterMs, heldMs } = findFailure(writes);
    this.clock = ManualClock.create({ startWallMs: 0 });
    const timer = TimerService.create({ clock: this.clock });
    this.seen = [];
    this.socket = new Duplex({
      read: () => {},
      write: (_chunk, _encoding, done) => {
        const finish = (): void =>
          done(timer.nowMs() >= failsAfterMs + heldMs ? new Error('reset') : null);
        if (heldMs > 0) {
          timer.after({ delayMs: heldMs, notify: finish });
        } else {
          finish();
        }
      },
    });
    confirmEnd({
      socket: this.socket as Socket,
      holdMs: () => Number(holdMs),
      sleep: (opts) => timer.sleep(opts),
    });
    this.socket.on('data', (bytes) => this.seen.push(String(bytes)));
    this.socket.on('end', () => this.seen.push('end'));
    this.socket.on('error', ({ message }) => this.seen.push(message));
  },
);

When('its end is read after data', async function when(this: FakeSocketWorld) {
  if (this.seen.length === 0) {
    this.socket.write('request');
  }
  this.socket.push('part');
  this.socket.push(null);
  for (let step = 0; step < 10; step += 1) {
    await whenPolled();
    await this.clock.advance({ byMs: 100 });
  }
});

Then(
  /^it (ends|closes with an error, and does not end)$/,
  function then(this: FakeSocketWorld, how: string) {
    assert.equal(this.seen.at(-1), how === 'ends' ? 'end' : 'reset');
    assert.equal(this.seen.includes('end'), how === 'ends');
  },
);
