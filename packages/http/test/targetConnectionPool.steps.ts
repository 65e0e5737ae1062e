import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  readAll,
  type TargetResponse,
  TargetConnectionPool,
  type TargetFailure,
} from '@galenatiller/http';
import { systemClock, TimerService } from '@galenatiller/timer';

interface ConnectionPoolWorld {
  targetServer: Server;
  targetSockets: Socket[];
  address: string;
  pool: TargetConnectionPool;
  openedCount: number;
  results: (TargetResponse | TargetFailure)[];
  bodies: (string | Error)[];
}

const COMPLETE_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';

async function listen(world: ConnectionPoolWorld, serve: (socket: Socket) => void): Promise<void> {
  world.targetSockets = [];
  world.targetServer = createServer((socket) => {
    world.targetSockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', () => serve(socket));
  });
  world.targetServer.listen(0, '127.0.0.1');
  await once(world.targetServer, 'listening');
  const bound = world.targetServer.address();
  world.address = `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
}

/**
 * A reset right after a write is sent as an ordinary end, so the reset waits until the bytes were
 * sent.
 */
const RESET_DELAY_MS = 30;

/** Sends bytes until the connection is closed. */
function sendEndlessly(socket: Socket, start: string, repeated: string): void {
  const bytes = repeated.repeat(1_000);
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(bytes)) {
      // The socket takes more bytes now.
    }
  };
  socket.on('drain', sendMore);
  socket.write(start);
  sendMore();
}

const TARGETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'responds "whole"': (socket) => socket.write(COMPLETE_RESPONSE),
  'closes each connection after the request': (socket) => socket.destroy(),
  'responds without length and closes': (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  'responds without length and resets': (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nwho', () => {
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  },
  'responds with too few bytes': (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole'),
  'sends a head without end': (socket) => sendEndlessly(socket, 'HTTP/1.1 200 OK\r\nX-Odd: ', 'x'),
  'sends a body without end': (socket) => sendEndlessly(socket, 'HTTP/1.1 200 OK\r\n\r\n', 'x'),
  'sends a body in chunks without end': (socket) =>
    sendEndlessly(socket, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'),
  'sends a second response after each': (socket) =>
    socket.write(`${COMPLETE_RESPONSE}${COMPLETE_RESPONSE}`),
};

Given(
  /^a raw target that (.+)$/,
  async function given(this: ConnectionPoolWorld, behaviour: string) {
    const serve = TARGETS[behaviour];
    await listen(this, serve ?? (() => {}));
    if (behaviour === 'has no listener') {
      this.targetServer.close();
    } else {
      assert.ok(serve, behaviour);
    }
    this.openedCount = 0;
    this.results = [];
    this.bodies = [];
    this.pool = TargetConnectionPool.create({
      timer: TimerService.create({ clock: systemClock }),
      connectLimitMs: 1_000,
      onOpened: () => {
        this.openedCount += 1;
      },
    });
  },
);

After({ tags: '@connections' }, function after(this: ConnectionPoolWorld) {
  this.pool.closeAllIdle();
  this.targetSockets.forEach((socket) => socket.destroy());
  this.targetServer.close();
});

When(
  /^(\d+) requests? (?:is|are) sent(?: one after the other)?$/,
  async function when(this: ConnectionPoolWorld, requests: string) {
    for (let index = 0; index < Number(requests); index += 1) {
      const result = await this.pool.exchange({
        address: this.address,
        method: 'POST',
        path: '/x',
        headers: ['Host', this.address],
        body: Buffer.from('body'),
        id: '',
        isConnectionNew: false,
        signal: new AbortController().signal,
      });
      this.results.push(result);
      if (result.kind === 'answered') {
        this.bodies.push(await readBody(result));
      }
    }
  },
);

When(
  '1 request is sent to {string}',
  async function when(this: ConnectionPoolWorld, address: string) {
    const result = await this.pool.exchange({
      address,
      method: 'GET',
      path: '/x',
      headers: ['Host', 'target'],
      body: undefined,
      id: '',
      isConnectionNew: false,
      signal: new AbortController().signal,
    });
    this.results.push(result);
  },
);

When(
  '1 request is sent and read up to {int} bytes',
  async function when(this: ConnectionPoolWorld, maxBytes: number) {
    const result = await this.pool.exchange({
      address: this.address,
      method: 'GET',
      path: '/x',
      headers: ['Host', this.address],
      body: undefined,
      id: '',
      isConnectionNew: false,
      signal: new AbortController().signal,
    });
    this.results.push(result);
    if (result.kind === 'answered') {
      await assert.rejects(readAll({ body: result.body, maxBytes }));
    }
  },
);

Then(
  'no complete response comes and the connection is closed',
  async function then(this: ConnectionPoolWorld) {
    const [socket] = this.targetSockets;
    assert.ok(socket);
    if (!socket.destroyed) {
      // `once` of node:events would reject at the reset that comes before.
      await new Promise((resolve) => {
        socket.once('close', resolve);
      });
    }
  },
);

async function readBody(response: TargetResponse): Promise<string | Error> {
  let text = '';
  try {
    for await (const chunk of response.body) {
      text += chunk.toString();
    }
    return text;
  } catch (error) {
    return error as Error;
  }
}

Then('each gets a complete response', function then(this: ConnectionPoolWorld) {
  assert.deepEqual(
    this.bodies,
    this.results.map(() => 'whole'),
  );
});

Then('its body is interrupted', function then(this: ConnectionPoolWorld) {
  assert.equal(this.results[0]?.kind, 'answered');
  assert.ok(this.bodies[0] instanceof Error, String(this.bodies[0]));
});

Then('it ends as {string}', function then(this: ConnectionPoolWorld, kind: string) {
  assert.equal(this.results[0]?.kind, kind);
});

Then(
  /^(\d+) connections? (?:was|were) opened$/,
  function then(this: ConnectionPoolWorld, count: string) {
    assert.equal(this.openedCount, Number(count));
  },
);
