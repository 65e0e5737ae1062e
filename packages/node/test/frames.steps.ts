import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GalenatillerError } from '@galenatiller/error';
import {
  acceptLinks,
  encodeFrame,
  FrameDecoder,
  type LinkServer,
  type NodeFrame,
  openLink,
  type AuthenticatedLink,
} from '@galenatiller/node';
import { TaskGroup } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';
import fc from 'fast-check';
import type { Result } from 'true-myth';

interface FramesWorld {
  rejectionCode: string;
  server: LinkServer | undefined;
  opened: Result<AuthenticatedLink, GalenatillerError>;
  unauthenticatedSockets: Socket[];
}

const CHECK_OPTIONS = { seed: 20261204, numRuns: 500 };
const timer = TimerService.create({ clock: systemClock });

const plainObject = { noNullPrototype: true };

const frame = fc.record(
  {
    kind: fc.constant('stage-part' as const),
    attempt: fc.record(
      { requestId: fc.string(), stageIndex: fc.nat(), attempt: fc.nat() },
      plainObject,
    ),
    part: fc.record(
      { offsetTokens: fc.nat(), tokens: fc.nat(), text: fc.string({ unit: 'grapheme' }) },
      plainObject,
    ),
  },
  plainObject,
);

Then('frames split at random places are decoded completely and in order', () => {
  fc.assert(
    fc.property(
      fc.array(frame, { maxLength: 8 }),
      fc.integer({ min: 1, max: 40 }),
      (frames, cut) => {
        const stream = Buffer.concat(
          frames.map((item) => encodeFrame(item).unwrapOr(Buffer.alloc(0))),
        );
        const decoder = FrameDecoder.create();
        const decoded: NodeFrame[] = [];
        for (let offset = 0; offset < stream.length; offset += cut) {
          decoded.push(...decoder.push(stream.subarray(offset, offset + cut)).unwrapOr([]));
        }
        assert.deepEqual(decoded, frames);
        assert.equal(decoder.bufferedBytes, 0);
      },
    ),
    CHECK_OPTIONS,
  );
});

Then('a crashes frame without evidence is decoded as one with none', () => {
  const records = [{ fingerprint: '1f', targetName: 'drafter-1', atWallMs: 1_000 }];
  const older = { kind: 'crashes', records } as unknown as NodeFrame;
  const bytes = encodeFrame(older).unwrapOr(Buffer.alloc(0));
  const decoded = FrameDecoder.create().push(bytes).unwrapOr([]);
  assert.deepEqual(decoded, [{ kind: 'crashes', records, evidence: [] }]);
});

Then('random bytes are decoded or rejected with a result code within bounded memory', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 20 }), (chunks) => {
      const decoder = FrameDecoder.create();
      let receivedBytes = 0;
      for (const chunk of chunks) {
        receivedBytes += chunk.length;
        const frames = decoder.push(Buffer.from(chunk));
        assert.ok(decoder.bufferedBytes <= receivedBytes);
        if (frames.isErr) {
          assert.ok(frames.error.code >= 7001);
          return;
        }
      }
    }),
    CHECK_OPTIONS,
  );
});

When('a frame header announces {int} bytes', function when(this: FramesWorld, bytes: number) {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(bytes);
  this.rejectionCode = decodeToError(header);
});

When('a frame contains garbage', function when(this: FramesWorld) {
  this.rejectionCode = decodeToError(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
});

Then('the decoder rejects it with {string}', function then(this: FramesWorld, name: string) {
  assert.equal(this.rejectionCode, name);
});

Given('a node port with keys {string}', async function given(this: FramesWorld, keys: string) {
  this.unauthenticatedSockets = [];
  this.server = await acceptLinks({
    address: '127.0.0.1',
    port: 0,
    identity: createIdentity('gate'),
    keys: keys.split(','),
    timer,
    logger: () => {},
    tasks: TaskGroup.create({ onFailure: (error) => assert.fail(String(error)) }),
    serve: async ({ link }) => {
      for await (const received of link.read()) {
        assert.ok(received);
      }
    },
  });
});

When(
  'a node opens a link with keys {string}',
  async function when(this: FramesWorld, keys: string) {
    this.opened = await openLink({
      address: '127.0.0.1',
      port: this.server?.port ?? 0,
      identity: createIdentity('entry'),
      keys: keys.split(','),
      timer,
    });
  },
);

When('an unauthenticated peer sends garbage to the node port', function when(this: FramesWorld) {
  return sendBytes(this, Buffer.from('\0\0\0\u0005GET / HTTP/1.1\r\n\r\n'));
});

When(
  'an unauthenticated peer sends an oversized frame to the node port',
  function when(this: FramesWorld) {
    return sendBytes(this, Buffer.from([0x7f, 0xff, 0xff, 0xff, 1, 2, 3]));
  },
);

Then(
  'the connections of the unauthenticated peers are closed',
  async function then(this: FramesWorld) {
    for (const socket of this.unauthenticatedSockets) {
      if (!socket.closed) {
        await once(socket, 'close');
      }
    }
  },
);

Then(/^the link is (open|rejected)$/, function then(this: FramesWorld, state: string) {
  const linkState = this.opened.match({
    Ok: () => 'open',
    Err: (error) => (error.codeName === 'link-not-proved' ? 'rejected' : error.codeName),
  });
  assert.equal(linkState, state);
});

After({ tags: '@node' }, function after(this: FramesWorld) {
  this.server?.stop();
  if (this.opened?.isOk) {
    this.opened.value.link.close();
  }
});

function createIdentity(role: 'entry' | 'gate') {
  return { nodeName: `${role}-1`, role, availabilityZone: 'north-a', incarnation: 'one' };
}

function decodeToError(bytes: Buffer): string {
  return FrameDecoder.create()
    .push(bytes)
    .match({ Ok: () => 'none', Err: (error) => error.codeName });
}

async function sendBytes(world: FramesWorld, bytes: Buffer): Promise<void> {
  const socket = connect({ host: '127.0.0.1', port: world.server?.port ?? 0 });
  await once(socket, 'connect');
  socket.resume();
  socket.on('error', () => {});
  socket.write(bytes);
  world.unauthenticatedSockets.push(socket);
}
