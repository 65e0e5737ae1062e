import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';

import { Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';

import { type EndToEndDeployment, timer } from './support/endToEndDeployment.js';

interface Answer {
  readonly status: number;
  readonly code: number;
  readonly outcome: string;
  readonly retryAfter: string;
  readonly connection: string;
}

interface StopsWorld extends EndToEndDeployment {
  entryPort: number;
  calls: Promise<Answer>[];
  stoppedAtMs: number;
}

const KEY = 'example-key-lautoka-floor';
const HEADER_END = '\r\n\r\n';

/** Time for a frame or a request to arrive on the loopback interface. */
const ARRIVAL_MS = 100;

Given(
  'nodes with a stop limit of {int} ms and targets that run {int} request at a time',
  function given(this: StopsWorld, stopLimitMs: number, inFlightLimit: number) {
    this.stopLimitMs = stopLimitMs;
    this.inFlightLimit = inFlightLimit;
    this.calls = [];
  },
);

Given('every engine hangs', function given(this: StopsWorld) {
  this.engines.forEach((engine) => engine.faults.apply({ kind: 'hang', on: true }));
});

Given(
  'the run records of the gate take {int} ms to end',
  function given(this: StopsWorld, recordsEndMs: number) {
    this.recordsEndMs = recordsEndMs;
  },
);

When(
  /^(\d+) calls? of route "([^"]+)" (?:is|are) running$/,
  async function when(this: StopsWorld, count: string, route: string) {
    const total = Number(count);
    for (let index = 0; index < total; index += 1) {
      this.calls.push(send(this, route));
      await timer.sleep({ delayMs: ARRIVAL_MS });
    }
  },
);

When('a call of route {string} is sent', function when(this: StopsWorld, route: string) {
  this.calls.push(send(this, route));
});

When(
  'a caller has sent half of a call of route {string}',
  async function when(this: StopsWorld, route: string) {
    this.calls.push(sendHalf(this, route));
    await timer.sleep({ delayMs: ARRIVAL_MS });
  },
);

When('the entry is stopped', function when(this: StopsWorld) {
  this.stoppedAtMs = timer.nowMs();
  this.stopEntry.abort();
});

When('the gate is stopped', function when(this: StopsWorld) {
  this.stoppedAtMs = timer.nowMs();
  this.stopGate.abort();
});

When('the gate is stopped once it has read them', async function when(this: StopsWorld) {
  await timer.sleep({ delayMs: ARRIVAL_MS });
  this.stoppedAtMs = timer.nowMs();
  this.stopGate.abort();
});

Then(
  'each call is answered within {int} ms with {int}, code {int} and outcome {string}',
  async function then(
    this: StopsWorld,
    withinMs: number,
    status: number,
    code: number,
    outcome: string,
  ) {
    await assertAnswers(this, this.calls, { withinMs, status, code, outcome });
  },
);

Then(
  'the last call is answered within {int} ms with {int}, code {int} and outcome {string}',
  async function then(
    this: StopsWorld,
    withinMs: number,
    status: number,
    code: number,
    outcome: string,
  ) {
    await assertAnswers(this, this.calls.slice(-1), { withinMs, status, code, outcome });
  },
);

Then(
  'the calls before it are answered within {int} ms with {int}, code {int} and outcome {string}',
  async function then(
    this: StopsWorld,
    withinMs: number,
    status: number,
    code: number,
    outcome: string,
  ) {
    await assertAnswers(this, this.calls.slice(0, -1), { withinMs, status, code, outcome });
  },
);

Then(
  'the last answer says to retry after {int} s',
  async function then(this: StopsWorld, seconds: number) {
    assert.equal((await this.calls.at(-1))?.retryAfter, String(seconds));
  },
);

Then('the last answer closes its connection', async function then(this: StopsWorld) {
  assert.equal((await this.calls.at(-1))?.connection, 'close');
});

Then('the gate has stopped within {int} ms', async function then(this: StopsWorld, limit: number) {
  await withinLimit(this, this.gateEnd, limit);
});

interface ExpectedAnswer {
  readonly withinMs: number;
  readonly status: number;
  readonly code: number;
  readonly outcome: string;
}

async function assertAnswers(
  world: StopsWorld,
  calls: readonly Promise<Answer>[],
  expected: ExpectedAnswer,
): Promise<void> {
  const answers = await withinLimit(world, Promise.all(calls), expected.withinMs);
  answers.forEach(({ status, code, outcome }) => {
    assert.deepEqual([status, code, outcome], [expected.status, expected.code, expected.outcome]);
  });
}

async function withinLimit<Value>(
  world: StopsWorld,
  value: Promise<Value>,
  limitMs: number,
): Promise<Value> {
  const leftMs = world.stoppedAtMs + limitMs - timer.nowMs();
  const isTooLate = timer.sleep({ delayMs: leftMs }).then(() => {
    assert.fail(`nothing has come ${limitMs} ms after the stop`);
  });
  return Promise.race([value, isTooLate]);
}

async function send(world: StopsWorld, route: string): Promise<Answer> {
  const response = await request(`http://127.0.0.1:${world.entryPort}/v1/routes/${route}`, {
    method: 'POST',
    body: JSON.stringify({ prompt: 'prism' }),
    headers: { authorization: `Bearer ${KEY}` },
  });
  const { code, outcome } = (await response.body.json()) as Answer;
  return {
    status: response.statusCode,
    code,
    outcome,
    retryAfter: String(response.headers['retry-after']),
    connection: String(response.headers.connection),
  };
}

/** Sends the headers and a part of the body, and reads the answer. */
async function sendHalf(world: StopsWorld, route: string): Promise<Answer> {
  const socket = connect({ host: '127.0.0.1', port: world.entryPort });
  await once(socket, 'connect');
  const lines = [`POST /v1/routes/${route} HTTP/1.1`, 'Host: x', 'Content-Length: 100'];
  socket.write(`${[...lines, `Authorization: Bearer ${KEY}`].join('\r\n')}${HEADER_END}{"prompt":`);
  let text = '';
  for await (const bytes of socket) {
    text += String(bytes);
  }
  const [head = '', body = ''] = text.split(HEADER_END);
  // The body is one chunk between its length and the last one.
  const { code, outcome } = JSON.parse(/{.*}/.exec(body)?.[0] ?? '') as Answer;
  return {
    status: Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1]),
    code,
    outcome,
    retryAfter: findHeader(head, 'retry-after'),
    connection: findHeader(head, 'connection'),
  };
}

function findHeader(head: string, name: string): string {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
}
