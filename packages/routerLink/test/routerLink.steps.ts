import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { acceptRouters, PeerRouter } from '@galenatiller/routerLink';
import { TaskGroup } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { PieceFailure, PieceResult, StagePiece } from '@galenatiller/types';
import fc from 'fast-check';

interface OrderAtOwner {
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  readonly settle: (result: PieceResult) => void;
}

interface LinkWorld {
  linkTimer: TimerService;
  linkAddress: string;
  owner: { close: () => void };
  peer: PeerRouter;
  stopPeer: AbortController;
  ordersAtOwner: OrderAtOwner[];
  freedAtOwner: string[];
  wanted: AbortController;
  peerResult: Promise<PieceResult | undefined>;
  orderedAtMs: number;
  strangersClosed: number;
}

const SEED = 20_261_204;
const LIMIT_MS = 4_000;
const POLL_MS = 10;
const TOLERANCE_MS = 200;
const FRAMES_A_LINK = 100;

async function until(isTrue: () => boolean, what: string): Promise<void> {
  for (let waitedMs = 0; !isTrue(); waitedMs += POLL_MS) {
    assert.ok(waitedMs < LIMIT_MS, what);
    await pause();
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
}

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  server.close();
  return `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
}

function order(world: LinkWorld, changes: { dueInMs: number; deadlineInMs: number }): void {
  world.wanted = new AbortController();
  world.orderedAtMs = world.linkTimer.nowMs();
  world.peerResult = world.peer.order({
    service: 'stage',
    signal: world.wanted.signal,
    piece: {
      requestId: 'request',
      stage: 1,
      piece: 2,
      key: '',
      inputs: ['10.0.0.9:1/x'],
      inputsExpireAtMs: Infinity,
      resultBytes: 8,
      zoneHint: 'zone',
      zoneWaitUntilMs: 0,
      deadlineAtMs: world.orderedAtMs + changes.deadlineInMs,
      dueAtMs: world.orderedAtMs + changes.dueInMs,
      priority: 1,
    },
  });
}

Given(
  'a router that owns a service and a peer with an open link to it',
  async function given(this: LinkWorld) {
    this.linkTimer = TimerService.create({ clock: systemClock });
    this.linkAddress = await freeAddress();
    this.ordersAtOwner = [];
    this.freedAtOwner = [];
    const onFailure = (error: unknown): void => {
      throw error;
    };
    const tasks = TaskGroup.create({ onFailure });
    this.owner = await acceptRouters({
      address: this.linkAddress,
      timer: this.linkTimer,
      tasks,
      service: {
        makePiece: ({ piece, signal }) =>
          new Promise((settle) => {
            this.ordersAtOwner.push({ piece, signal, settle });
          }),
        free: (handles) => {
          this.freedAtOwner.push(...handles);
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
    await until(() => this.peer.isOpen, 'the link never opened');
  },
);

After({ tags: '@routerLink' }, function after(this: LinkWorld) {
  this.stopPeer.abort();
  this.owner.close();
});

When(
  'the peer orders a piece that is due in {int} ms and has to be made in {int} ms',
  async function when(this: LinkWorld, dueInMs: number, deadlineInMs: number) {
    order(this, { dueInMs, deadlineInMs });
    await until(() => this.ordersAtOwner.length === 1, 'the order never came');
  },
);

When('the owner makes it as {string}', function when(this: LinkWorld, handle: string) {
  this.ordersAtOwner[0]?.settle({ kind: 'made', handle });
});

When('the peer does not want it any more', function when(this: LinkWorld) {
  this.wanted.abort();
});

When('the owner is gone', function when(this: LinkWorld) {
  this.owner.close();
});

Then('the peer has the result {string}', async function then(this: LinkWorld, handle: string) {
  assert.deepEqual(await this.peerResult, { kind: 'made', handle });
});

Then('the peer has no result', async function then(this: LinkWorld) {
  assert.equal(await this.peerResult, undefined);
});

Then(
  'the owner had to make it in about {int} ms, and it was due in about {int} ms',
  function then(this: LinkWorld, deadlineInMs: number, dueInMs: number) {
    const { piece } = this.ordersAtOwner[0] ?? assert.fail();
    const lateMs = piece.deadlineAtMs - this.orderedAtMs - deadlineInMs;
    assert.ok(lateMs >= 0 && lateMs < TOLERANCE_MS, String(lateMs));
    assert.ok(Math.abs(piece.dueAtMs - this.orderedAtMs - dueInMs) < TOLERANCE_MS);
    assert.equal(piece.inputsExpireAtMs, Infinity);
    assert.deepEqual(piece.inputs, ['10.0.0.9:1/x']);
  },
);

Then(
  'the piece failed as {string} at the peer',
  async function then(this: LinkWorld, reason: PieceFailure) {
    assert.deepEqual(await this.peerResult, { kind: 'failed', reason });
  },
);

Then('the owner was told that nobody wants it', function then(this: LinkWorld) {
  return until(() => this.ordersAtOwner[0]?.signal.aborted ?? false, 'the cancel never came');
});

Then('the owner is told to free {string}', function then(this: LinkWorld, handle: string) {
  return until(() => this.freedAtOwner.includes(handle), 'the result was never freed');
});

When(
  'a stranger sends {int} random frames to the owner',
  { timeout: 4 * LIMIT_MS },
  async function when(this: LinkWorld, frames: number) {
    const [host = '', port = ''] = this.linkAddress.split(':');
    const bytes = fc.sample(fc.uint8Array({ minLength: 1, maxLength: 60 }), {
      numRuns: frames,
      seed: SEED,
    });
    this.strangersClosed = 0;
    for (let first = 0; first < frames; first += FRAMES_A_LINK) {
      const socket = connect({ host, port: Number(port) });
      socket.on('error', () => {});
      socket.once('close', () => {
        this.strangersClosed += 1;
      });
      bytes.slice(first, first + FRAMES_A_LINK).forEach((body) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(body.length);
        socket.write(Buffer.concat([length, body]));
      });
    }
    await until(() => this.strangersClosed === frames / FRAMES_A_LINK, 'a link stayed open');
  },
);

Then(
  "each of its links was closed, and the peer's link still works",
  async function then(this: LinkWorld) {
    order(this, { dueInMs: 100, deadlineInMs: 200 });
    await until(() => this.ordersAtOwner.length === 1, 'the order never came');
  },
);
