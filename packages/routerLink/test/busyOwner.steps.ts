import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';

import { Then, When } from '@cucumber/cucumber';

import type { RelayRequest } from '@galenatiller/store';

import { type LinkWorld, orderPiece, RELAY_REQUESTS, RELAYED, waitUntil } from './linkWorld.js';

When(
  /^the peer reads (entries|changes|parts) of the store through the owner$/,
  async function when(this: LinkWorld, kind: RelayRequest['kind']) {
    const { signal } = new AbortController();
    const request = RELAY_REQUESTS[kind];
    this.relayed = await this.peer.read({ request, signal });
    assert.deepEqual(this.requestAtOwner, request);
  },
);

Then(
  /^it gets the (entries|changes|parts) that the owner has read$/,
  function then(this: LinkWorld, kind: RelayRequest['kind']) {
    assert.deepEqual(this.relayed, RELAYED[kind]);
  },
);

When('the owner accepts {int} piece(s) at once', function when(this: LinkWorld, pieces: number) {
  this.maxPiecesAtOwner = pieces;
});

Then('the peer submits no more to it', function then(this: LinkWorld) {
  return waitUntil(() => !this.peer.canAccept, 'the peer never heeded the limit');
});

Then('the peer submits to it again', function then(this: LinkWorld) {
  return waitUntil(() => this.peer.canAccept, 'the peer never submitted again');
});

/** An owner that accepts connections and reads nothing, like a router that has no CPU time. */
When('the owner has no CPU time', async function when(this: LinkWorld) {
  this.owner.close();
  await waitUntil(() => !this.peer.isOpen, 'the link never closed');
  const [host = '', port = ''] = this.linkAddress.split(':');
  const sockets: Socket[] = [];
  const silent = createServer((socket) => {
    sockets.push(socket.pause());
  });
  this.owner = {
    close: () => {
      silent.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
  await once(silent.listen(Number(port), host), 'listening');
  await waitUntil(() => this.peer.isOpen, 'the link never opened');
  orderPiece(this, { dueInMs: 500, deadlineInMs: 9_000 });
});

Then(
  'the peer submits no more to it, before it takes the piece for lost',
  async function then(this: LinkWorld) {
    let isLost = false;
    this.peerResult = this.peerResult.then((result) => {
      isLost = true;
      return result;
    });
    await waitUntil(() => !this.peer.canAccept, 'the peer never noticed');
    assert.equal(isLost || !this.peer.isOpen, false);
    assert.equal(await this.peerResult, undefined);
  },
);

Then('it submits nothing to it while it says nothing', async function then(this: LinkWorld) {
  await waitUntil(() => this.peer.isOpen, 'the link never opened again');
  assert.equal(this.peer.canAccept, false);
});
