import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type Call,
  type CallResponse,
  type CallerServer,
  computeCallerFigures,
  serveCallers,
} from '@galenatiller/caller';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { TaskGroup } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';
import { type Dispatcher, request } from 'undici';

interface CallerWorld {
  server: CallerServer | undefined;
  response: Dispatcher.ResponseData;
  partCount: number;
  cancelled: Promise<void>;
  started: Promise<void>;
  tasks: TaskGroup;
  reader: Socket;
  receivedBytes: number;
  receivedText: string;
  /** Error with which calls are refused; undefined if they are answered. */
  refusal: GalenatillerError | undefined;
}

const KEY = 'secret-key';
/** Larger than what the socket buffers of both ends hold. */
const LARGE_CHARS = 8_000_000;
/** Time after which a call counts as unanswered. */
const MAX_ANSWER_MS = 2_000;
const KEY_HASH = createHash('sha256').update(KEY).digest('hex');

Given('a server for callers that echoes prompts', async function given(this: CallerWorld) {
  this.partCount = 0;
  let markStarted: () => void = () => {};
  let markCancelled: () => void = () => {};
  this.started = new Promise((resolve) => {
    markStarted = resolve;
  });
  this.cancelled = new Promise((resolve) => {
    markCancelled = resolve;
  });
  this.tasks = TaskGroup.create({ onFailure: (error) => assert.fail(String(error)) });
  this.server = await serveCallers({
    address: '127.0.0.1',
    port: 0,
    logger: () => {},
    tasks: this.tasks,
    timer: TimerService.create({ clock: systemClock }),
    figures: computeCallerFigures({ memoryMb: 256, maxDescriptors: 4_096, baseMb: 176 }),
    onLimit: () => {},
    findOrganisation: (hash) => (hash === KEY_HASH ? 'lautoka-floor' : ''),
    createRequestId: () => 'request-1',
    isReady: () => true,
    onWorkEnd: () => () => {},
    runCall: async (call, writePart) => {
      if (call.prompt === 'hold') {
        markStarted();
        await once(call.signal, 'abort');
        markCancelled();
      }
      if (this.refusal) {
        return Result.err(this.refusal);
      }
      if (call.prompt === 'throw') {
        throw new Error('unexpected');
      }
      if (call.prompt === 'large') {
        return Result.ok({ ...echo(call), text: 'x'.repeat(LARGE_CHARS) });
      }
      for (let index = 0; index < this.partCount; index += 1) {
        await writePart({ offsetTokens: index, tokens: 1, text: `w${index}` });
      }
      const detail = 'the next target responded with status 500';
      return call.prompt === 'fail'
        ? Result.err(GalenatillerError.create({ name: 'target-failed', detail }))
        : Result.ok(echo(call));
    },
  });
});

const REQUESTS: Readonly<Record<string, () => Partial<SendOptions>>> = {
  'malformed JSON': () => ({ body: '{"prompt":' }),
  'an unknown field': () => ({ body: '{"promt":"x"}' }),
  'a wrong key': () => ({ headers: { authorization: 'Bearer other' } }),
  'no key': () => ({ headers: { authorization: '' } }),
  'a body over the limit': () => ({ body: JSON.stringify({ prompt: 'x'.repeat(300_000) }) }),
  'a call whose run throws': () => ({
    body: '{"prompt":"throw"}',
    signal: AbortSignal.timeout(MAX_ANSWER_MS),
  }),
  'a negative deadline': () => ({ headers: { 'deadline-ms': '-5' } }),
  'a huge deadline': () => ({ headers: { 'deadline-ms': '999999999' } }),
  'a textual deadline': () => ({ headers: { 'deadline-ms': 'soon' } }),
  'an unknown path': () => ({ path: '/v2/nothing' }),
};

When(
  /^a caller sends (malformed JSON|an? .+|no key)$/,
  async function when(this: CallerWorld, name: string) {
    this.response = await send(this, REQUESTS[name]?.() ?? {});
  },
);

When(
  /^a call is refused as "([^"]*)" and (may have|has not) run$/,
  async function when(this: CallerWorld, name: ResultCodeName, run: string) {
    const outcome = run === 'may have' ? 'may-have-run' : 'not-run';
    this.refusal = GalenatillerError.create({ name, detail: 'scripted', outcome });
    this.response = await send(this, {});
  },
);

When('a caller sends half a request and closes its side', async function when(this: CallerWorld) {
  const socket = connect({ host: '127.0.0.1', port: this.server?.port ?? 0 });
  await once(socket, 'connect');
  socket.on('error', () => {});
  socket.end('POST /v1/routes/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{');
  socket.resume();
  await once(socket, 'close');
});

When(
  'a caller asks for a stream of {int} parts',
  async function when(this: CallerWorld, count: number) {
    this.partCount = count;
    this.response = await send(this, { body: '{"prompt":"x","stream":true}' });
  },
);

When(
  'a caller asks for a stream that fails after {int} parts',
  async function when(this: CallerWorld, count: number) {
    this.partCount = count;
    this.response = await send(this, { body: '{"prompt":"fail","stream":true}' });
  },
);

Then(
  'the stream holds the {int} parts, then one error event, and no end marker',
  async function then(this: CallerWorld, count: number) {
    const events = (await this.response.body.text()).split('\n\n').filter((event) => event !== '');
    assert.equal(this.response.statusCode, 200);
    assert.deepEqual(
      events.map((event) => event.split(/[:{]/, 1)[0]),
      [...Array.from({ length: count }, () => 'data'), 'event'],
    );
    assert.ok(events.at(-1)?.startsWith('event: error\ndata: {'));
  },
);

When('a caller disconnects in the middle of a call', async function when(this: CallerWorld) {
  const disconnected = new AbortController();
  const sent = send(this, { body: '{"prompt":"hold"}', signal: disconnected.signal });
  await this.started;
  disconnected.abort();
  await assert.rejects(sent);
});

When(
  'a caller asks for a response of 8 MB and reads none of it',
  async function when(this: CallerWorld) {
    this.reader = connect({ host: '127.0.0.1', port: this.server?.port ?? 0 });
    this.reader.pause();
    await once(this.reader, 'connect');
    const body = '{"prompt":"large"}';
    const head = `POST /v1/routes/echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n`;
    const headers = `Authorization: Bearer ${KEY}\r\nContent-Length: ${body.length}\r\n\r\n`;
    this.reader.write(`${head}${headers}${body}`);
    await turn(TURNS_OF_A_CALL);
  },
);

When(
  /^a caller of HTTP\/1\.0 sends (a valid call|malformed JSON)$/,
  async function when(this: CallerWorld, name: string) {
    const body = REQUESTS[name]?.().body ?? '{"prompt":"good"}';
    const socket = connect({ host: '127.0.0.1', port: this.server?.port ?? 0 });
    const headers = `Authorization: Bearer ${KEY}\r\nContent-Length: ${body.length}\r\n\r\n`;
    socket.write(`POST /v1/routes/echo HTTP/1.0\r\n${headers}${body}`);
    this.receivedText = '';
    for await (const bytes of socket) {
      this.receivedText += String(bytes);
    }
  },
);

Then('the length of its response is that of the body', function then(this: CallerWorld) {
  const [head = '', body = ''] = this.receivedText.split('\r\n\r\n');
  assert.ok(body.length > 0);
  assert.equal(/^content-length: (\d+)$/im.exec(head)?.[1], String(body.length));
});

Then('the call is still in progress', function then(this: CallerWorld) {
  assert.equal(this.tasks.size, 1);
});

When('the caller reads the response', async function when(this: CallerWorld) {
  this.receivedBytes = 0;
  for await (const bytes of this.reader) {
    this.receivedBytes += (bytes as Buffer).length;
  }
});

Then('the caller has all 8 MB of it', function then(this: CallerWorld) {
  assert.ok(this.receivedBytes > LARGE_CHARS, `${this.receivedBytes} bytes`);
});

Then('no call is in progress', async function then(this: CallerWorld) {
  await turn(TURNS_OF_A_CALL);
  assert.equal(this.tasks.size, 0);
});

Then(
  'the caller is refused with {int}, code {int} and outcome {string}',
  async function then(this: CallerWorld, status: number, code: number, outcome: string) {
    const problem = (await this.response.body.json()) as {
      readonly status: number;
      readonly code: number;
      readonly outcome: string;
    };
    assert.equal(this.response.headers['content-type'], 'application/problem+json');
    assert.deepEqual(
      [this.response.statusCode, problem.status, problem.code, problem.outcome],
      [status, status, code, outcome],
    );
  },
);

Then('a valid call is still answered', async function then(this: CallerWorld) {
  const response = await send(this, {});
  const body = (await response.body.json()) as { choices: { text: string }[] };
  assert.equal(body.choices[0]?.text, 'good');
});

Then(
  'the stream holds the {int} parts in order and ends with {string}',
  async function then(this: CallerWorld, count: number, marker: string) {
    const events = (await this.response.body.text())
      .split('\n\n')
      .filter((event) => event !== '')
      .map((event) => event.replace('data: ', ''));
    assert.equal(events.at(-1), marker);
    const offsets = events
      .slice(0, count)
      .map((event) => (JSON.parse(event) as { offset_tokens: number }).offset_tokens);
    assert.deepEqual(offsets, [...Array(count).keys()]);
  },
);

Then('the call is cancelled', function then(this: CallerWorld) {
  return this.cancelled;
});

After({ tags: '@caller' }, function after(this: CallerWorld) {
  this.server?.stop();
});

/** Turns of the event loop after which a call that needs no timer has ended. */
const TURNS_OF_A_CALL = 500;

async function turn(count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await setImmediate();
  }
}

interface SendOptions {
  readonly path: string;
  readonly body: string;
  readonly headers: Record<string, string>;
  readonly signal: AbortSignal;
}

function send(world: CallerWorld, opts: Partial<SendOptions>): Promise<Dispatcher.ResponseData> {
  const url = `http://127.0.0.1:${world.server?.port ?? 0}${opts.path ?? '/v1/routes/echo'}`;
  return request(url, {
    method: 'POST',
    body: opts.body ?? '{"prompt":"good"}',
    headers: { authorization: `Bearer ${KEY}`, connection: 'close', ...opts.headers },
    ...(opts.signal ? { signal: opts.signal } : {}),
  });
}

function echo(call: Call): CallResponse {
  return { text: call.prompt, tokens: 0, finishReason: 'stop', body: null };
}
