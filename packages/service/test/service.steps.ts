import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import {
  createFakeService,
  computeExpectedReceipt,
  type FakeService,
  createSampleStageRequest,
} from '@galenatiller/fakes';
import { runServiceCall } from '@galenatiller/service';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { JsonValue, StageResult } from '@galenatiller/types';
import type { Result } from 'true-myth';

interface ServiceWorld {
  fakeService: FakeService;
  /** A service that writes its responses byte by byte; undefined for the fake one. */
  rawService: Server | undefined;
  serviceUrl: string;
  serviceResult: Result<StageResult, GalenatillerError>;
}

Given('a fake service', async function given(this: ServiceWorld) {
  this.fakeService = await createFakeService({
    timer: TimerService.create({ clock: systemClock }),
    port: 0,
    seed: 1,
    restartMs: 1,
    version: 'v1',
    serviceMs: 1,
    concurrency: 2,
  });
  this.serviceUrl = this.fakeService.url;
});

const REFUSAL = '{"error":{"code":"overloaded"}}';

Given(
  'a service that refuses its first call, and once more whatever follows on that connection',
  async function given(this: ServiceWorld) {
    let connections = 0;
    this.rawService = createServer((socket) => {
      connections += 1;
      const response =
        connections === 1
          ? `HTTP/1.1 503 Refused\r\nContent-Length: ${REFUSAL.length}\r\n\r\n${REFUSAL}`
          : 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}';
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        // The head of a request and its body may come apart.
        if (bytes.includes('HTTP/1.1')) {
          socket.write(response);
        }
      });
    });
    this.rawService.listen(0, '127.0.0.1');
    await once(this.rawService, 'listening');
    const bound = this.rawService.address();
    this.serviceUrl = `http://127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
  },
);

/** What a service without framing does once it has answered. */
type AfterAnswer = 'runs on' | 'is gone' | 'is another process' | 'falls silent';

Given(
  /^a service that answers (a number|an object) without framing, and then (.+)$/,
  async function given(this: ServiceWorld, value: string, after: AfterAnswer) {
    const body = value === 'a number' ? '12' : '{"count":12}';
    this.rawService = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        if (bytes.includes('POST /v1/call')) {
          socket.end(`HTTP/1.1 200 OK\r\nX-Engine-Start-Id: start-1\r\n\r\n${body}`);
          if (after === 'is gone') {
            this.rawService?.close();
          }
        } else if (bytes.includes('GET /load') && after !== 'falls silent') {
          const startId = after === 'runs on' ? 'start-1' : 'start-2';
          socket.write(
            `HTTP/1.1 200 OK\r\nX-Engine-Start-Id: ${startId}\r\nContent-Length: 2\r\n\r\n{}`,
          );
        }
      });
    });
    await once(this.rawService.listen(0, '127.0.0.1'), 'listening');
    const bound = this.rawService.address();
    this.serviceUrl = `http://127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
  },
);

Then('the service call succeeds', function then(this: ServiceWorld) {
  assert.ok(
    this.serviceResult.isOk,
    this.serviceResult.isErr ? this.serviceResult.error.message : '',
  );
});

After({ tags: '@service' }, function after(this: Partial<ServiceWorld>) {
  this.rawService?.close();
  return this.fakeService?.close();
});

Given('the responses of the service are lost', function given(this: ServiceWorld) {
  this.fakeService.faults.apply({ kind: 'lose-answer', share: 1 });
});

Given('the service refuses', function given(this: ServiceWorld) {
  this.fakeService.faults.apply({ kind: 'refuse', on: true });
});

When(
  'the service is called with key {string} and body {string}',
  async function when(this: ServiceWorld, runKey: string, body: string) {
    const order = createSampleStageRequest({ kind: 'call', body: JSON.parse(body) as JsonValue });
    this.serviceResult = await runServiceCall({
      url: this.serviceUrl,
      order: { ...order, idempotent: false, runKey },
      signal: new AbortController().signal,
    });
  },
);

Then(
  'the service responds with the receipt of key {string} and body {string}',
  function then(this: ServiceWorld, runKey: string, body: string) {
    assert.deepEqual(this.serviceResult.unwrapOr(undefined), {
      kind: 'call',
      status: 200,
      body: { receipt: computeExpectedReceipt(runKey, body) },
    });
  },
);

Then(
  'the service call fails as {string} with outcome {string}',
  function then(this: ServiceWorld, codeName: string, outcome: string) {
    assert.ok(this.serviceResult.isErr);
    assert.equal(this.serviceResult.error.codeName, codeName);
    assert.equal(this.serviceResult.error.outcome, outcome);
  },
);

Then(
  'the service has the effects of keys {string}',
  function then(this: ServiceWorld, keys: string) {
    assert.equal(this.fakeService.effects.map(({ runKey }) => runKey).join(), keys);
  },
);
