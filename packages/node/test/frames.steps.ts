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
  refusal: string;
  server: LinkServer | undefined;
  opened: Result<AuthenticatedLink, GalenatillerError>;
  strangers: Socket[];
}

const RUNS = { seed: 20261204, numRuns: 500 };
const timer = TimerService.create({ clock: systemClock });

const plain = { noNullPrototype: true };

const frame = fc.record(
  {
    kind: fc.constant('stage-part' as const),
    attempt: fc.record({ requestId: fc.string(), stageIndex: fc.nat(), attempt: fc.nat() }, plain),
    part: fc.record(
      { offsetTokens: fc.nat(), tokens: fc.nat(), text: fc.string({ unit: 'grapheme' }) },
      plain,
    ),
  },
  plain,
);

Then('frames cut at random places are decoded whole and in order', () => {
  fc.assert(
    fc.property(
      fc.array(frame, { maxLength: 8 }),
      fc.integer({ min: 1, max: 40 }),
      (frames, cut) => {
        const stream = Buffer.concat(
          frames.map((each) => encodeFrame(each).unwrapOr(Buffer.alloc(0))),
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
    RUNS,
  );
});

Then('random bytes are decoded or refused with a numbered code within bounded memory', () => {
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
    RUNS,
  );
});

When('a frame header announces {int} bytes', function when(this: FramesWorld, bytes: number) {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(bytes);
  this.refusal = refusalOf(header);
});

When('a frame holds garbage', function when(this: FramesWorld) {
  this.refusal = refusalOf(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
});

Then('the decoder refuses with {string}', function then(this: FramesWorld, name: string) {
  assert.equal(this.refusal, name);
});

Given('a node port with keys {string}', async function given(this: FramesWorld, keys: string) {
  this.strangers = [];
  this.server = await acceptLinks({
    address: '127.0.0.1',
    port: 0,
    identity: identity('gate'),
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
      identity: identity('entry'),
      keys: keys.split(','),
      timer,
    });
  },
);

When('a stranger sends garbage to the node port', function when(this: FramesWorld) {
  return sendBytes(this, Buffer.from('\0\0\0\u0005GET / HTTP/1.1\r\n\r\n'));
});

When('a stranger sends an oversized frame to the node port', function when(this: FramesWorld) {
  return sendBytes(this, Buffer.from([0x7f, 0xff, 0xff, 0xff, 1, 2, 3]));
});

Then("the strangers' connections are closed", async function then(this: FramesWorld) {
  for (const socket of this.strangers) {
    if (!socket.closed) {
      await once(socket, 'close');
    }
  }
});

Then(/^the link is (open|refused)$/, function then(this: FramesWorld, state: string) {
  const found = this.opened.match({
    Ok: () => 'open',
    Err: (error) => (error.codeName === 'link-not-proved' ? 'refused' : error.codeName),
  });
  assert.equal(found, state);
});

After({ tags: '@node' }, function after(this: FramesWorld) {
  this.server?.stop();
  if (this.opened?.isOk) {
    this.opened.value.link.close();
  }
});

function identity(role: 'entry' | 'gate') {
  return { nodeName: `${role}-1`, role, availabilityZone: 'north-a', incarnation: 'one' };
}

function refusalOf(bytes: Buffer): string {
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
  world.strangers.push(socket);
}
