import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  BLOCK_BYTES,
  BlockPool,
  BodyBudget,
  type BodyClaim,
  chooseIdle,
  chooseMostRequests,
  chooseUnread,
  ChunkCollector,
  computeCallerFigures,
  type ConnectionState,
  hasTooManyChunks,
} from '@galenatiller/caller';

interface BodyOfTest {
  readonly claim: BodyClaim;
  heldBytes: number;
  mayRead: boolean;
  closedFor: string;
}

interface LimitsWorld {
  nowMs: number;
  budget: BodyBudget;
  bodies: BodyOfTest[];
  peakBytes: number;
  whole: boolean;
  heldBytes: number;
  connections: (ConnectionState & { name: string })[];
}

const PART_BYTES = 65_536;
const DEADLINE_MS = 5_000;

Given(
  'memory for bodies of {int} bytes, and {int} bytes kept for small ones',
  function given(this: LimitsWorld, limitBytes: number, reservedBytes: number) {
    this.nowMs = 0;
    this.bodies = [];
    this.peakBytes = 0;
    this.budget = BodyBudget.create({
      limitBytes,
      reservedBytes,
      nowMs: () => this.nowMs,
      onClosed: () => {},
    });
  },
);

function open(world: LimitsWorld, maxBytes: number): BodyOfTest {
  const body: BodyOfTest = {
    claim: world.budget.open({
      maxBytes,
      deadlineAtMs: DEADLINE_MS,
      onGranted: () => {
        body.mayRead = true;
      },
      onClosed: (reason) => {
        body.closedFor = reason;
        body.mayRead = false;
      },
    }),
    heldBytes: 0,
    mayRead: true,
    closedFor: '',
  };
  world.bodies.push(body);
  return body;
}

function receive(world: LimitsWorld, received: BodyOfTest, untilBytes: number): void {
  const body = received;
  body.heldBytes = Math.min(untilBytes, body.heldBytes + PART_BYTES);
  body.mayRead = body.claim.charge(body.heldBytes);
  world.peakBytes = Math.max(world.peakBytes, world.budget.heldBytes);
}

When(
  '{int} bodies of up to {int} bytes arrive in parts of 65536 bytes',
  function when(this: LimitsWorld, count: number, maxBytes: number) {
    const bodies = Array.from({ length: count }, () => open(this, maxBytes));
    const canGoOn = (body: BodyOfTest): boolean => body.mayRead && body.heldBytes < maxBytes;
    while (bodies.some(canGoOn)) {
      bodies.filter(canGoOn).forEach((body) => receive(this, body, maxBytes));
    }
  },
);

When('a body of {int} bytes arrives', function when(this: LimitsWorld, bytes: number) {
  receive(this, open(this, bytes), bytes);
});

When(
  'a body of up to {int} bytes stops after {int} bytes',
  function when(this: LimitsWorld, maxBytes: number, bytes: number) {
    const body = open(this, maxBytes);
    while (body.mayRead && body.heldBytes < bytes) {
      receive(this, body, bytes);
    }
  },
);

When('{int} ms pass for the bodies', function when(this: LimitsWorld, passedMs: number) {
  this.nowMs += passedMs;
  this.budget.check();
});

Then('the first one is read to its end', function then(this: LimitsWorld) {
  assert.equal(this.bodies[0]?.heldBytes, 4_194_304);
});

Then(
  'the memory in use stays under {int} bytes',
  function then(this: LimitsWorld, maxBytes: number) {
    assert.ok(this.peakBytes < maxBytes, String(this.peakBytes));
  },
);

Then('it may be read on', function then(this: LimitsWorld) {
  assert.equal(this.bodies.at(-1)?.mayRead, true);
});

Then('the first body was closed with {string}', function then(this: LimitsWorld, reason: string) {
  assert.deepEqual(
    this.bodies.map(({ closedFor }) => closedFor),
    [reason, ...this.bodies.slice(1).map(() => '')],
  );
});

Then(
  'a body other than the first was closed, and the first may be read on',
  function then(this: LimitsWorld) {
    const [first, ...others] = this.bodies;
    assert.equal(first?.mayRead, true);
    assert.ok(others.some(({ closedFor }) => closedFor === 'no-memory'));
  },
);

Then('no body was closed', function then(this: LimitsWorld) {
  assert.ok(this.bodies.every(({ closedFor }) => closedFor === ''));
});

When(
  '{int} chunks of {int} bytes are collected',
  function when(this: LimitsWorld, count: number, bytes: number) {
    const collector = ChunkCollector.create({
      pool: BlockPool.create({ maxBytes: 4 * BLOCK_BYTES }),
    });
    const chunks = Array.from({ length: count }, (_, index) => Buffer.alloc(bytes, index % 251));
    chunks.forEach((chunk) => collector.push(chunk));
    this.heldBytes = collector.heldBytes;
    this.whole = collector.take().equals(Buffer.concat(chunks));
  },
);

Then(
  'the body is whole, and took at most {int} bytes',
  function then(this: LimitsWorld, maxBytes: number) {
    assert.ok(this.whole);
    assert.ok(this.heldBytes <= maxBytes, String(this.heldBytes));
  },
);

Then(
  /^(\d+) chunks with (\d+) bytes are too many: (yes|no)$/,
  (chunks: string, bodyBytes: string, tooMany: string) => {
    const count = { chunks: Number(chunks), bodyBytes: Number(bodyBytes) };
    assert.equal(hasTooManyChunks(count), tooMany === 'yes');
  },
);

const CONNECTION = {
  name: 'idle',
  requests: 0,
  isReceiving: false,
  idleSinceMs: 0,
  headBytes: 0,
  unreadBytes: 0,
  unreadSinceMs: 0,
};

Given(
  'connections that are idle since 5, 3 and 9 ms, one that runs a request, and one that receives a body',
  function given(this: LimitsWorld) {
    this.connections = [
      ...[5, 3, 9].map((idleSinceMs) => ({ ...CONNECTION, idleSinceMs })),
      { ...CONNECTION, name: 'running', requests: 1 },
      { ...CONNECTION, name: 'receiving', requests: 1, isReceiving: true, idleSinceMs: 2 },
    ];
  },
);

Then('the one that is idle since 3 ms makes room', function then(this: LimitsWorld) {
  assert.equal(chooseIdle(this.connections)?.idleSinceMs, 3);
});

Then(
  'without idle ones, the one that receives a body makes room',
  function then(this: LimitsWorld) {
    assert.equal(chooseIdle(this.connections.slice(3))?.name, 'receiving');
  },
);

Then('of connections with 1, 8 and 3 requests, the one with 8 is closed', () => {
  const connections = [1, 8, 3].map((requests) => ({ requests }));
  assert.deepEqual(chooseMostRequests(connections), { requests: 8 });
});

Then('of connections with 1 and 1 requests, none is closed', () => {
  assert.equal(chooseMostRequests([{ requests: 1 }, { requests: 1 }]), undefined);
});

Then(
  'with answers of 10, 70 and 30 bytes unread and a limit of 60 bytes, the one with 70 bytes is closed',
  () => {
    const connections = [10, 70, 30].map((unreadBytes) => ({ ...CONNECTION, unreadBytes }));
    const limits = { maxConnections: 9, headBytes: 9, unreadBytes: 60, unreadLimitMs: 9 };
    assert.deepEqual(
      chooseUnread(connections, limits).map(({ unreadBytes }) => unreadBytes),
      [70],
    );
  },
);

Then(
  'the default machine has memory for 8 bodies of the largest size and room for 900 connections and requests',
  () => {
    const figures = computeCallerFigures({ memoryMb: 256, maxDescriptors: 4_096, baseMb: 104 });
    assert.ok(figures.bodyBytes >= 8 * 4_194_304);
    assert.ok(figures.maxConnections >= 900);
    assert.ok(figures.maxRequests >= 900, String(figures.maxRequests));
  },
);
