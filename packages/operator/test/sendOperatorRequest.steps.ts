import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import {
  sendOperatorRequest,
  type NodeStatus,
  type OperatorResponses,
  type OperatorRequest,
  type OperatorServer,
  startOperatorServer,
  type TimelineQuery,
} from '@galenatiller/operator';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

interface AskNodeWorld {
  node: OperatorServer;
  other: Server | undefined;
  port: number;
  clock: ManualClock;
  log: string[];
  asked: TimelineQuery;
  reply: Result<OperatorResponses[keyof OperatorResponses], GalenatillerError>;
}

const TIMEOUT_MS = 2_000;

const STATUS: NodeStatus = {
  nodeName: 'gate-1',
  role: 'gate',
  availabilityZone: 'north-a',
  incarnation: 'i-1',
  configurationRevision: 7,
  storeReachable: false,
  targets: [
    {
      name: 'drafter-1',
      kind: 'engine',
      group: 'drafter',
      version: 'v1',
      state: 'cold',
      inFlight: 1,
      queued: 2,
      inFlightLimit: 3,
      runMs: 4.5,
      prefixHashes: ['0a'],
    },
  ],
  links: [{ peerName: 'entry-1', state: 'open' }],
  moves: [
    {
      targetGroup: 'drafter',
      fromVersion: 'v1',
      toVersion: 'v2',
      state: 'unproven',
      share: 0.05,
      reason: '',
    },
  ],
  inFlight: 1,
  draining: false,
};

Given(
  'a node with the operator keys {string} and {string}',
  async function given(this: AskNodeWorld, first: string, second: string) {
    this.clock = ManualClock.create({ startWallMs: 0 });
    this.log = [];
    this.node = await startOperatorServer({
      address: '127.0.0.1',
      port: 0,
      keys: [first, second],
      logger: ({ message }) => this.log.push(message),
      readStatus: () => STATUS,
      readTimeline: (query) => {
        this.asked = query;
        return { events: [] };
      },
      explain: (requestId) => ({ requestId, events: [] }),
    });
    this.port = this.node.port;
  },
);

Given(
  'the node accepts connections and never answers operators',
  function given(this: AskNodeWorld) {
    return replaceNode(this, () => {});
  },
);

Given('the node answers operators with {string}', function given(this: AskNodeWorld, text: string) {
  return replaceNode(this, (_, response) => response.end(text));
});

When(
  'an operator with the key {string} asks for the node status',
  async function when(this: AskNodeWorld, operatorKey: string) {
    this.reply = await ask(this, { kind: 'status' }, operatorKey);
  },
);

When(
  'an operator asks for the node time line of request {string} after {float} ms and {int}',
  async function when(this: AskNodeWorld, requestId: string, wallMs: number, counter: number) {
    const query = {
      requestId,
      target: '',
      afterTimestamp: { wallMs, counter },
      maxEvents: 5,
    };
    this.reply = await ask(this, { kind: 'timeline', query });
  },
);

When(
  'an operator asks the node to explain request {string}',
  async function when(this: AskNodeWorld, requestId: string) {
    this.reply = await ask(this, { kind: 'explain', requestId });
  },
);

When(
  'an operator asks for the node status and {int} ms pass',
  async function when(this: AskNodeWorld, byMs: number) {
    const reply = ask(this, { kind: 'status' });
    await this.clock.advance({ byMs });
    this.reply = await reply;
  },
);

Then('the node status is the one that the node reported', function then(this: AskNodeWorld) {
  assert.deepEqual(this.reply.unwrapOr(undefined), STATUS);
});

Then('the operator is refused with {string}', function then(this: AskNodeWorld, name: string) {
  assert.equal(this.reply.isErr && this.reply.error.codeName, name);
});

Then(
  'neither the refusal nor the log of the node has the key {string}',
  function then(this: AskNodeWorld, key: string) {
    const refusal = this.reply.isErr ? JSON.stringify(this.reply.error) : '';
    assert.equal(this.log.length, 1);
    assert.ok(![refusal, ...this.log].some((line) => line.includes(key)));
  },
);

Then(
  'the node was asked for request {string} after {float} ms and {int}',
  function then(this: AskNodeWorld, requestId: string, wallMs: number, counter: number) {
    const query = {
      requestId,
      target: '',
      afterTimestamp: { wallMs, counter },
      maxEvents: 5,
    };
    assert.deepEqual(this.asked, query);
  },
);

Then('the explanation is of request {string}', function then(this: AskNodeWorld, id: string) {
  assert.deepEqual(this.reply.unwrapOr(undefined), { requestId: id, events: [] });
});

Then('the refusal names the node', function then(this: AskNodeWorld) {
  assert.match(this.reply.isErr ? this.reply.error.detail : '', /^gate-1 .* within 2000 ms$/);
});

After({ tags: '@ask-node' }, async function after(this: AskNodeWorld) {
  this.other?.closeAllConnections();
  this.other?.close();
  await this.node?.stop();
});

function ask<Kind extends keyof OperatorResponses>(
  world: AskNodeWorld,
  request: Extract<OperatorRequest, { readonly kind: Kind }>,
  operatorKey = 'old-key',
): Promise<Result<OperatorResponses[Kind], GalenatillerError>> {
  return sendOperatorRequest<Kind>({
    host: { name: 'gate-1', address: '127.0.0.1', operatorPort: world.port },
    operatorKey,
    request,
    timer: TimerService.create({ clock: world.clock }),
    timeoutMs: TIMEOUT_MS,
  });
}

async function replaceNode(world: AskNodeWorld, listener: RequestListener): Promise<void> {
  const server = createServer(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  Object.assign(world, { other: server, port: typeof address === 'object' ? address?.port : 0 });
}
