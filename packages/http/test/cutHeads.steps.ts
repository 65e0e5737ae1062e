import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { readAll, sendRequest, TargetConnectionPool } from '@galenatiller/http';
import { systemClock, TimerService } from '@galenatiller/timer';

interface CutHeadsWorld {
  cutServer: Server;
  cutAddress: string;
  cutHead: string;
  /** Bytes of the next head that are sent; 0 for a whole response. */
  cutAfterBytes: number;
  /** Positions at which a client took a cut response for a complete one. */
  takenPositions: number[];
}

const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const MAX_BYTES = 1_000;

const FRAMINGS: Readonly<Record<string, string>> = {
  'with a length': 'Content-Length: 120\r\n',
  'with a length and a close': 'Connection: close\r\nContent-Length: 120\r\n',
  'in chunks': 'Transfer-Encoding: chunked\r\n',
  'with its connection': '',
};

Given(
  /^a target whose response (with a length|with a length and a close|in chunks|with its connection) is cut off at each position of its head in turn$/,
  async function given(this: CutHeadsWorld, framing: string) {
    this.cutHead = `HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n${FRAMINGS[framing] ?? ''}Date: now\r\n\r\n`;
    this.cutAfterBytes = 0;
    this.cutServer = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', () => {
        if (this.cutAfterBytes === 0) {
          socket.write(WHOLE);
        } else {
          socket.end(this.cutHead.slice(0, this.cutAfterBytes));
        }
      });
    });
    await once(this.cutServer.listen(0, '127.0.0.1'), 'listening');
    const bound = this.cutServer.address();
    this.cutAddress = `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
  },
);

After({ tags: '@cutHeads' }, function after(this: CutHeadsWorld) {
  this.cutServer.close();
});

When(
  /^a (connection pool|plain request) sends requests to it, each as the (first|second) on its connection$/,
  { timeout: 30_000 },
  async function when(this: CutHeadsWorld, client: string, order: string) {
    this.takenPositions = [];
    const send = client === 'connection pool' ? createPoolSend(this) : () => sendPlain(this);
    for (let position = 1; position < this.cutHead.length; position += 1) {
      if (order === 'second') {
        this.cutAfterBytes = 0;
        assert.equal(await send(), 'ok');
      }
      this.cutAfterBytes = position;
      if ((await send()) !== undefined) {
        this.takenPositions.push(position);
      }
    }
  },
);

Then('none of them gets a response with a complete body', function then(this: CutHeadsWorld) {
  assert.deepEqual(this.takenPositions, []);
});

/** Sends a request; resolves to the body of a complete response, and to undefined otherwise. */
function createPoolSend({ cutAddress: address }: CutHeadsWorld): () => Promise<string | undefined> {
  const timer = TimerService.create({ clock: systemClock });
  const pool = TargetConnectionPool.create({ timer, connectLimitMs: 400, onOpened: () => {} });
  return async () => {
    const response = await pool.exchange({
      address,
      method: 'GET',
      path: '/',
      headers: ['Host', address],
      body: undefined,
      id: '',
      isConnectionNew: false,
      signal: AbortSignal.timeout(5_000),
    });
    return response.kind === 'answered' ? readText(response.body) : undefined;
  };
}

async function sendPlain({ cutAddress }: CutHeadsWorld): Promise<string | undefined> {
  const response = await sendRequest({
    url: `http://${cutAddress}`,
    path: '/',
    method: 'GET',
    headers: {},
    body: '',
    isConnectionNew: true,
    signal: AbortSignal.timeout(5_000),
  });
  return response.isOk ? readText(response.value.body) : undefined;
}

async function readText(body: AsyncIterable<Buffer>): Promise<string | undefined> {
  try {
    return (await readAll({ body, maxBytes: MAX_BYTES })).toString();
  } catch {
    // A body that breaks off is no response to the caller.
    return undefined;
  }
}
