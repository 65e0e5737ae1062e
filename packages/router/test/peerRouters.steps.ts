import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { TaskGroup } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';

import { PeerRouters } from '../src/peerRouters.js';

interface PeersWorld {
  peerServer: Server;
  peers: PeerRouters;
  linkTasks: TaskGroup;
  peerAddress: string;
}

const POLL_MS = 10;

/** A link that is being opened is given up by then. */
const MAX_END_MS = 2_000;

function createMember(name: string, address: string) {
  return { name, address, availabilityZone: 'zone-a', cpuCores: 1, leavingSince: 0 };
}

Given(
  /^a router with a link to one that (accepts|refuses|is being connected)$/,
  async function given(this: PeersWorld, state: string) {
    const server = createServer((socket) => {
      socket.on('error', () => {}).resume();
    });
    this.peerServer = server;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.peerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    if (state === 'refuses') {
      server.close();
    }
    this.linkTasks = TaskGroup.create({ onFailure: assert.ifError });
    this.peers = PeerRouters.create({
      timer: TimerService.create({ clock: systemClock }),
      selfName: 'router-1',
      onLinkEvent: () => {},
      onOpened: () => {},
      tasks: this.linkTasks,
    });
    this.peers.setMembers([createMember('router-2', this.peerAddress)]);
    if (state === 'accepts') {
      await once(server, 'connection');
    }
    assert.equal(this.linkTasks.size, 1);
  },
);

When('the router ends and learns of another router', function when(this: PeersWorld) {
  this.peers.close();
  this.peers.setMembers([createMember('router-3', this.peerAddress)]);
});

Then('it has no link task left', async function then(this: PeersWorld) {
  const untilMs = performance.now() + MAX_END_MS;
  while (this.linkTasks.size > 0 && performance.now() < untilMs) {
    await sleep(POLL_MS);
  }
  assert.equal(this.linkTasks.size, 0);
});

After({ tags: '@router' }, function after(this: Partial<PeersWorld>) {
  this.peerServer?.close();
});
