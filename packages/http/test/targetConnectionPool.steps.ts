import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  readAll,
  fetchText,
  type TargetResponse,
  TargetConnectionPool,
  type TargetFailure,
} from '@galenatiller/http';
import { sendEndlessResponse } from '@galenatiller/fakes';
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

/** Delay of a reset after the bytes before it; `earlyAnswers.feature` has those that come at once. */
const RESET_DELAY_MS = 30;

/** Time limit of a plain request. */
const MAX_PLAIN_MS = 5_000;

/** Pause of a slow reader after each piece of a body. */
const SLOW_READ_MS = 5;

const TARGETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'responds "whole"': (socket) => socket.write(COMPLETE_RESPONSE),
  'closes each connection after the request': (socket) => socket.destroy(),
  'responds without length and closes': (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  'responds without length and resets': (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nwho', () => {
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  },
  'responds in the identity coding and resets': (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwho', () => {
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  },
  'responds with 200 and no length': (socket) => socket.write('HTTP/1.1 200 OK\r\n\r\n'),
  'responds with 204 and no length': (socket) => socket.write('HTTP/1.1 204 No Content\r\n\r\n'),
  'responds with 304 and no length': (socket) => socket.write('HTTP/1.1 304 Not Modified\r\n\r\n'),
  'responds with too few bytes': (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole'),
  'responds with a body of 8000000 bytes': (socket) =>
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n${'x'.repeat(8_000_000)}`),
  'sends a second response after each': (socket) =>
    socket.write(`${COMPLETE_RESPONSE}${COMPLETE_RESPONSE}`),
};

Given(
  /^a raw target that (.+)$/,
  async function given(this: ConnectionPoolWorld, behaviour: string) {
    const endlessPart = /^sends a (.+) without end$/.exec(behaviour)?.[1];
    const serve =
      endlessPart === undefined
        ? TARGETS[behaviour]
        : (socket: Socket): void => sendEndlessResponse({ socket, part: endlessPart });
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

/** Sends a request and waits for the head of its response. */
async function send(
  world: ConnectionPoolWorld,
  opts: { readonly method?: string; readonly address?: string } = {},
): Promise<TargetResponse | TargetFailure> {
  const { method = 'GET', address = world.address } = opts;
  const result = await world.pool.exchange({
    address,
    method,
    path: '/x',
    headers: ['Host', address],
    body: method === 'POST' ? Buffer.from('body') : undefined,
    id: '',
    isConnectionNew: false,
    signal: new AbortController().signal,
  });
  world.results.push(result);
  return result;
}

When(
  /^(\d+) (?:(HEAD|GET) )?requests? (?:is|are) sent(?: one after the other)?$/,
  async function when(this: ConnectionPoolWorld, requests: string, method: string | null) {
    for (let index = 0; index < Number(requests); index += 1) {
      const result = await send(this, { method: method ?? 'POST' });
      if (result.kind === 'answered') {
        this.bodies.push(await readBody(result));
      }
    }
  },
);

When(
  '1 request is sent to {string}',
  async function when(this: ConnectionPoolWorld, address: string) {
    await send(this, { address });
  },
);

When(
  '1 request is sent and read up to {int} bytes',
  async function when(this: ConnectionPoolWorld, maxBytes: number) {
    const result = await send(this);
    if (result.kind === 'answered') {
      await assert.rejects(readAll({ body: result.body, maxBytes }));
    }
  },
);

function fetchPlain({ address }: ConnectionPoolWorld): ReturnType<typeof fetchText> {
  return fetchText({
    url: `http://${address}`,
    path: '/x',
    method: 'GET',
    headers: {},
    body: '',
    signal: AbortSignal.timeout(MAX_PLAIN_MS),
  });
}

When(
  '1 plain request is sent',
  { timeout: 2 * MAX_PLAIN_MS },
  async function when(this: ConnectionPoolWorld) {
    const response = await fetchPlain(this);
    assert.ok(response.isErr, 'a complete response');
    assert.notEqual(response.error.codeName, 'cancelled', 'nothing but the time limit ended it');
  },
);

When(
  '{int} plain requests are sent one after the other',
  async function when(this: ConnectionPoolWorld, requests: number) {
    for (let index = 0; index < requests; index += 1) {
      const response = await fetchPlain(this);
      assert.ok(response.isOk);
      this.bodies.push(response.value.text);
    }
    assert.equal(this.bodies.length, requests);
  },
);

Then(
  /^the target has had (\d+) connections?$/,
  function then(this: ConnectionPoolWorld, count: string) {
    assert.equal(this.targetSockets.length, Number(count));
  },
);

When(
  '1 request is sent and its body is read slowly',
  async function when(this: ConnectionPoolWorld) {
    const result = await send(this);
    assert.equal(result.kind, 'answered');
    let bytes = 0;
    for await (const chunk of result.body) {
      bytes += chunk.length;
      await new Promise((resolve) => {
        setTimeout(resolve, SLOW_READ_MS);
      });
    }
    this.bodies.push(String(bytes));
  },
);

Then('the whole body has come', function then(this: ConnectionPoolWorld) {
  assert.deepEqual(this.bodies, ['8000000']);
});

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
  assert.ok(this.bodies.length >= this.results.length);
  assert.deepEqual(
    this.bodies,
    this.bodies.map(() => 'whole'),
  );
});

Then('each gets a complete response without a body', function then(this: ConnectionPoolWorld) {
  assert.deepEqual(this.bodies, ['', '']);
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
