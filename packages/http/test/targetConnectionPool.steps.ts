import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { type TargetResponse, TargetConnectionPool, type TargetFailure } from '@galenatiller/http';
import { systemClock, TimerService } from '@galenatiller/timer';

interface ConnectionWorld {
  targetServer: Server;
  targetSockets: Socket[];
  address: string;
  connections: TargetConnectionPool;
  opened: number;
  ends: (TargetResponse | TargetFailure)[];
  bodies: (string | Error)[];
}

const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';

async function listen(world: ConnectionWorld, serve: (socket: Socket) => void): Promise<void> {
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

/** A reset right after a write leaves as an ordinary end; this is after the bytes have left. */
const RESET_AFTER_MS = 30;

const TARGETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'answers "whole"': (socket) => socket.write(WHOLE),
  'closes each connection after the request': (socket) => socket.destroy(),
  'answers without length and closes': (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  'answers without length and resets': (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nwho', () => {
      setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
    });
  },
  'answers with too few bytes': (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole'),
  'sends a second answer after each': (socket) => socket.write(`${WHOLE}${WHOLE}`),
};

Given(/^a raw target that (.+)$/, async function given(this: ConnectionWorld, how: string) {
  const serve = TARGETS[how];
  await listen(this, serve ?? (() => {}));
  if (how === 'has no listener') {
    this.targetServer.close();
  } else {
    assert.ok(serve, how);
  }
  this.opened = 0;
  this.ends = [];
  this.bodies = [];
  this.connections = TargetConnectionPool.create({
    timer: TimerService.create({ clock: systemClock }),
    connectLimitMs: 1_000,
    onOpened: () => {
      this.opened += 1;
    },
  });
});

After({ tags: '@connections' }, function after(this: ConnectionWorld) {
  this.connections.closeAllIdle();
  this.targetSockets.forEach((socket) => socket.destroy());
  this.targetServer.close();
});

When(
  /^(\d+) requests? (?:is|are) sent(?: one after the other)?$/,
  async function when(this: ConnectionWorld, requests: string) {
    for (let index = 0; index < Number(requests); index += 1) {
      const end = await this.connections.exchange({
        address: this.address,
        method: 'POST',
        path: '/x',
        headers: ['Host', this.address],
        body: Buffer.from('body'),
        signal: new AbortController().signal,
      });
      this.ends.push(end);
      if (end.kind === 'answered') {
        this.bodies.push(await readBody(end));
      }
    }
  },
);

async function readBody(answer: TargetResponse): Promise<string | Error> {
  let text = '';
  try {
    for await (const chunk of answer.body) {
      text += chunk.toString();
    }
    return text;
  } catch (error) {
    return error as Error;
  }
}

Then('each is answered', function then(this: ConnectionWorld) {
  assert.deepEqual(
    this.bodies,
    this.ends.map(() => 'whole'),
  );
});

Then('its body breaks off', function then(this: ConnectionWorld) {
  assert.equal(this.ends[0]?.kind, 'answered');
  assert.ok(this.bodies[0] instanceof Error, String(this.bodies[0]));
});

Then('it ends as {string}', function then(this: ConnectionWorld, kind: string) {
  assert.equal(this.ends[0]?.kind, kind);
});

Then(
  /^(\d+) connections? (?:was|were) opened$/,
  function then(this: ConnectionWorld, most: string) {
    assert.equal(this.opened, Number(most));
  },
);
