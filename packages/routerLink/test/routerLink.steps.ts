import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { setImmediate } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { acceptRouters, PeerRouter } from '@galenatiller/routerLink';
import { TaskGroup } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { PieceFailure } from '@galenatiller/types';
import fc from 'fast-check';

import {
  findFreeAddress,
  type LinkWorld,
  MAX_WAIT_MS,
  orderPiece,
  RELAYED,
  waitUntil,
} from './linkWorld.js';
import { RouterSocket } from '../src/routerSocket.js';
import { RouterFrameDecoder } from '../src/wireRouterFrame.js';

const SEED = 20_261_204;
const TOLERANCE_MS = 200;
const FRAMES_PER_LINK = 100;

Given(
  'a router that owns a service and a peer with an open link to it',
  async function given(this: LinkWorld) {
    this.linkTimer = TimerService.create({ clock: systemClock });
    this.linkAddress = await findFreeAddress();
    this.ordersAtOwner = [];
    this.waitsAtOwner = [];
    this.freedAtOwner = [];
    this.begunAtPeer = 0;
    this.maxPiecesAtOwner = Infinity;
    const tasks = TaskGroup.create({
      onFailure: (error) => assert.fail(String(error)),
    });
    this.owner = await acceptRouters({
      address: this.linkAddress,
      timer: this.linkTimer,
      tasks,
      service: {
        runPiece: ({ piece, signal, onBegun }) =>
          new Promise((settle) => {
            this.ordersAtOwner.push({ piece, signal, onBegun, settle });
          }),
        waitMs: () => 0,
        waits: () => this.waitsAtOwner,
        maxPieces: () => this.maxPiecesAtOwner,
        tryGrantPermit: () => true,
        readRelayed: ({ request }) => {
          this.requestAtOwner = request;
          return Promise.resolve(RELAYED[request.kind]);
        },
        free: (handles) => {
          this.freedAtOwner.push(...handles);
        },
        addRolloutEvidence: (evidence) => {
          this.rolloutEvidenceAtOwner = evidence;
        },
        addUsage: (update) => {
          this.usageAtOwner = update;
        },
        addLoad: (update) => {
          this.loadAtOwner = update;
        },
        endRollout: (decision) => {
          this.decisionAtOwner = decision;
        },
        mergeLeavingEvidence: (evidence) => {
          this.leavingAtOwner = evidence;
        },
        mergeCrashEvidence: (evidence) => {
          this.evidenceAtOwner = evidence;
        },
      },
    });
    this.stopPeer = new AbortController();
    this.peer = PeerRouter.create({
      timer: this.linkTimer,
      selfName: 'peer',
      peerName: 'owner',
      address: this.linkAddress,
      onEvent: () => {},
    });
    tasks.start(() => this.peer.run({ signal: this.stopPeer.signal }));
    await waitUntil(() => this.peer.isOpen, 'the link never opened');
  },
);

After({ tags: '@routerLink' }, function after(this: LinkWorld) {
  this.stopPeer.abort();
  this.owner.close();
});

When(
  'the peer orders a piece that is due in {int} ms and has to be done in {int} ms',
  async function when(this: LinkWorld, dueInMs: number, deadlineInMs: number) {
    orderPiece(this, { dueInMs, deadlineInMs });
    await waitUntil(() => this.ordersAtOwner.length === 1, 'the order never arrived');
  },
);

When(
  /^the peer orders a piece and (asks|does not ask) to know when it has begun$/,
  async function when(this: LinkWorld, asks: string) {
    const onBegun = (): void => {
      this.begunAtPeer += 1;
    };
    const times = { dueInMs: 500, deadlineInMs: 2_000 };
    orderPiece(this, asks === 'asks' ? { ...times, onBegun } : times);
    await waitUntil(() => this.ordersAtOwner.length === 1, 'the order never arrived');
  },
);

When('the owner has a worker that has begun it', function when(this: LinkWorld) {
  this.ordersAtOwner[0]?.onBegun?.();
  this.ordersAtOwner[0]?.settle({ kind: 'made', handle: '10.0.0.1:1/a' });
});

Then(
  'the peer knows of {int} piece(s) that have begun',
  async function then(this: LinkWorld, pieces: number) {
    assert.deepEqual(await this.peerResult, { kind: 'made', handle: '10.0.0.1:1/a' });
    assert.equal(this.begunAtPeer, pieces);
    assert.equal(this.ordersAtOwner[0]?.onBegun !== undefined, pieces > 0);
  },
);

When('the owner completes it with {string}', function when(this: LinkWorld, handle: string) {
  this.ordersAtOwner[0]?.settle({ kind: 'made', handle });
});

When(
  'the peer orders a piece that has to start in {int} ms to be on time',
  async function when(this: LinkWorld, startInMs: number) {
    orderPiece(this, { dueInMs: 500, deadlineInMs: 2_000, startInMs });
    await waitUntil(() => this.ordersAtOwner.length === 1, 'the order never arrived');
  },
);

Then(
  'at the owner the piece had to start in about {int} ms, with all else that orders it',
  function then(this: LinkWorld, startInMs: number) {
    const { urgency } = this.ordersAtOwner[0]?.piece ?? assert.fail();
    const { latestStartAtMs = NaN, ...rest } = urgency ?? {};
    const lateMs = latestStartAtMs - this.orderedAtMs - startInMs;
    assert.ok(Math.abs(lateMs) < TOLERANCE_MS, String(lateMs));
    assert.deepEqual(rest, { remainingMs: 70, hasBegun: true, organisation: 'shop' });
  },
);

Then('at the owner nothing else orders the piece', function then(this: LinkWorld) {
  assert.equal((this.ordersAtOwner[0] ?? assert.fail()).piece.urgency, undefined);
});

Given(
  'pieces of priority {int} wait for {int} ms at the owner, the oldest for {int} ms',
  function given(this: LinkWorld, priority: number, waitMs: number, oldestMs: number) {
    this.waitsAtOwner = [{ priority, waitMs, oldestMs }];
  },
);

Then('the peer knows of these waits', function then(this: LinkWorld) {
  assert.deepEqual(this.peer.waits('stage/0'), this.waitsAtOwner);
});

When('the peer cancels it', function when(this: LinkWorld) {
  this.cancelOrder.abort();
});

When('the owner closes its links', function when(this: LinkWorld) {
  this.owner.close();
});

Then('the peer gets the result {string}', async function then(this: LinkWorld, handle: string) {
  assert.deepEqual(await this.peerResult, { kind: 'made', handle });
});

Then('the peer gets no result', async function then(this: LinkWorld) {
  assert.equal(await this.peerResult, undefined);
});

Then(
  'at the owner the piece had to be done in about {int} ms and was due in about {int} ms',
  function then(this: LinkWorld, deadlineInMs: number, dueInMs: number) {
    const { piece } = this.ordersAtOwner[0] ?? assert.fail();
    const lateMs = piece.deadlineAtMs - this.orderedAtMs - deadlineInMs;
    assert.ok(lateMs >= 0 && lateMs < TOLERANCE_MS, String(lateMs));
    assert.ok(Math.abs(piece.dueAtMs - this.orderedAtMs - dueInMs) < TOLERANCE_MS);
    assert.equal(piece.inputsExpireAtMs, Infinity);
    assert.equal(piece.fingerprint, 'stage 0 content');
    assert.deepEqual(piece.inputs, ['10.0.0.9:1/x']);
  },
);

Then(
  'the piece fails as {string} at the peer',
  async function then(this: LinkWorld, reason: PieceFailure) {
    assert.deepEqual(await this.peerResult, { kind: 'failed', reason });
  },
);

Then('the order is cancelled at the owner', function then(this: LinkWorld) {
  return waitUntil(
    () => this.ordersAtOwner[0]?.signal.aborted ?? false,
    'the order was never cancelled',
  );
});

Then('the owner frees {string}', function then(this: LinkWorld, handle: string) {
  return waitUntil(() => this.freedAtOwner.includes(handle), 'the result was never freed');
});

When(
  'an unknown client sends {int} random frames to the owner',
  { timeout: 4 * MAX_WAIT_MS },
  async function when(this: LinkWorld, frames: number) {
    const [host = '', port = ''] = this.linkAddress.split(':');
    const bytes = fc.sample(fc.uint8Array({ minLength: 1, maxLength: 60 }), {
      numRuns: frames,
      seed: SEED,
    });
    this.closedLinks = 0;
    for (let first = 0; first < frames; first += FRAMES_PER_LINK) {
      const socket = connect({ host, port: Number(port) });
      socket.on('error', () => {});
      socket.once('close', () => {
        this.closedLinks += 1;
      });
      bytes.slice(first, first + FRAMES_PER_LINK).forEach((body) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(body.length);
        socket.write(Buffer.concat([length, body]));
      });
    }
    await waitUntil(() => this.closedLinks === frames / FRAMES_PER_LINK, 'a link stayed open');
  },
);

Then(
  "each link of the client is closed, and the peer's link still works",
  async function then(this: LinkWorld) {
    orderPiece(this, { dueInMs: 100, deadlineInMs: 200 });
    await waitUntil(() => this.ordersAtOwner.length === 1, 'the order never arrived');
  },
);

When(
  'a router sends {int} frames over a connection at once',
  async function when(this: LinkWorld, frames: number) {
    this.writes = [];
    const stream = new Duplex({
      read: () => {},
      write: (chunk: Buffer, _encoding, done) => {
        this.writes.push(chunk);
        done();
      },
      writev: (chunks, done) => {
        this.writes.push(Buffer.concat(chunks.map(({ chunk }) => chunk as Buffer)));
        done();
      },
    });
    const socket = RouterSocket.create({ socket: stream as Socket });
    for (let orderId = 1; orderId <= frames; orderId += 1) {
      socket.send({ kind: 'piece-cancel', orderIds: [orderId] });
    }
    await setImmediate();
  },
);

Then('they are written at once, in their order', function then(this: LinkWorld) {
  assert.equal(this.writes.length, 1);
  const frames = RouterFrameDecoder.create().push(this.writes[0] ?? Buffer.alloc(0));
  const orderIds = frames
    .unwrapOr([])
    .flatMap((frame) => (frame.kind === 'piece-cancel' ? frame.orderIds : [0]));
  assert.deepEqual(
    orderIds,
    Array.from({ length: 20 }, (_, index) => index + 1),
  );
});
