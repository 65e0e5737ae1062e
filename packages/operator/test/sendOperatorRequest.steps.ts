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

interface OperatorRequestWorld {
  node: OperatorServer;
  replacement: Server | undefined;
  port: number;
  clock: ManualClock;
  log: string[];
  receivedQuery: TimelineQuery;
  response: Result<OperatorResponses[keyof OperatorResponses], GalenatillerError>;
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
  async function given(this: OperatorRequestWorld, first: string, second: string) {
    this.clock = ManualClock.create({ startWallMs: 0 });
    this.log = [];
    this.node = await startOperatorServer({
      limitClients: () => {},
      address: '127.0.0.1',
      port: 0,
      keys: [first, second],
      logger: ({ message }) => this.log.push(message),
      readStatus: () => STATUS,
      readTimeline: (query) => {
        this.receivedQuery = query;
        return { events: [] };
      },
      explain: (requestId) => ({ requestId, events: [] }),
    });
    this.port = this.node.port;
  },
);

Given(
  'the node accepts connections but never responds to operators',
  function given(this: OperatorRequestWorld) {
    return replaceNode(this, () => {});
  },
);

Given(
  'the node responds to operators with {string}',
  function given(this: OperatorRequestWorld, text: string) {
    return replaceNode(this, (_, response) => response.end(text));
  },
);

When(
  'an operator with the key {string} requests the node status',
  async function when(this: OperatorRequestWorld, operatorKey: string) {
    this.response = await send(this, { kind: 'status' }, operatorKey);
  },
);

When(
  'an operator queries the node timeline for request {string} after timestamp {float} ms, counter {int}',
  async function when(
    this: OperatorRequestWorld,
    requestId: string,
    wallMs: number,
    counter: number,
  ) {
    const query = {
      requestId,
      target: '',
      afterTimestamp: { wallMs, counter },
      maxEvents: 5,
    };
    this.response = await send(this, { kind: 'timeline', query });
  },
);

When(
  'an operator asks the node to explain request {string}',
  async function when(this: OperatorRequestWorld, requestId: string) {
    this.response = await send(this, { kind: 'explain', requestId });
  },
);

When(
  'an operator requests the node status and {int} ms pass',
  async function when(this: OperatorRequestWorld, byMs: number) {
    const pending = send(this, { kind: 'status' });
    await this.clock.advance({ byMs });
    this.response = await pending;
  },
);

Then(
  'the received status equals the status of the node',
  function then(this: OperatorRequestWorld) {
    assert.deepEqual(this.response.unwrapOr(undefined), STATUS);
  },
);

Then(
  'the operator request fails with {string}',
  function then(this: OperatorRequestWorld, name: string) {
    assert.equal(this.response.isErr && this.response.error.codeName, name);
  },
);

Then(
  'neither the error nor the log of the node contains the key {string}',
  function then(this: OperatorRequestWorld, key: string) {
    const error = this.response.isErr ? JSON.stringify(this.response.error) : '';
    assert.equal(this.log.length, 1);
    assert.ok(![error, ...this.log].some((line) => line.includes(key)));
  },
);

Then(
  'the node received a query for request {string} after timestamp {float} ms, counter {int}',
  function then(this: OperatorRequestWorld, requestId: string, wallMs: number, counter: number) {
    const query = {
      requestId,
      target: '',
      afterTimestamp: { wallMs, counter },
      maxEvents: 5,
    };
    assert.deepEqual(this.receivedQuery, query);
  },
);

Then(
  'the explanation is for request {string}',
  function then(this: OperatorRequestWorld, id: string) {
    assert.deepEqual(this.response.unwrapOr(undefined), { requestId: id, events: [] });
  },
);

Then(
  'the error names the node and the time limit of 2000 ms',
  function then(this: OperatorRequestWorld) {
    assert.match(
      this.response.isErr ? this.response.error.detail : '',
      /^gate-1 .* within 2000 ms$/,
    );
  },
);

After({ tags: '@operator-request' }, async function after(this: OperatorRequestWorld) {
  this.replacement?.closeAllConnections();
  this.replacement?.close();
  await this.node?.stop();
});

function send<Kind extends keyof OperatorResponses>(
  world: OperatorRequestWorld,
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

async function replaceNode(world: OperatorRequestWorld, listener: RequestListener): Promise<void> {
  const server = createServer(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  Object.assign(world, {
    replacement: server,
    port: typeof address === 'object' ? address?.port : 0,
  });
}
