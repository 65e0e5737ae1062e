import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { createFakeHostList, type FakeHostList } from '@galenatiller/fakes';
import { pollHosts } from '@galenatiller/hostList';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';

interface HostListWorld {
  hostListClock: ManualClock;
  hostListTimer: TimerService;
  fakeHostList: FakeHostList;
  stopFollowing: AbortController;
  readsEnded: number;
  followedHosts: readonly Host[];
  failedReads: number;
}

const HOST: Host = {
  name: '',
  address: '127.0.0.1',
  port: 9000,
  operatorPort: 9001,
  role: 'gate',
  availabilityZone: 'a',
  state: 'live',
};

Given('a fake host list with a lag of {int} ms', async function given(this: HostListWorld, lagMs) {
  this.hostListClock = ManualClock.create({ startWallMs: 0 });
  this.hostListTimer = TimerService.create({ clock: this.hostListClock });
  this.fakeHostList = await createFakeHostList({ timer: this.hostListTimer, port: 0, lagMs });
  this.stopFollowing = new AbortController();
  Object.assign(this, { followedHosts: [], failedReads: 0, readsEnded: 0 });
});

After({ tags: '@hostList' }, function after(this: Partial<HostListWorld>) {
  this.stopFollowing?.abort();
  return this.fakeHostList?.close();
});

Given('the host list is followed every {int} ms', function given(this: HostListWorld, intervalMs) {
  const following = pollHosts({
    url: this.fakeHostList.url,
    timer: this.hostListTimer,
    signal: this.stopFollowing.signal,
    intervalMs,
    onHosts: (hosts) => {
      this.followedHosts = hosts;
      this.readsEnded += 1;
    },
    onFailure: () => {
      this.failedReads += 1;
      this.readsEnded += 1;
    },
  });
  following.catch(assert.fail);
});

When('the platform lists the host {string}', function when(this: HostListWorld, name: string) {
  this.fakeHostList.setHosts([{ ...HOST, name }]);
});

When('the host list goes down', function when(this: HostListWorld) {
  return this.fakeHostList.close();
});

When(
  'the clock of the host list advances by {int} ms',
  async function when(this: HostListWorld, byMs: number) {
    for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
      await readEnded(this);
      await this.hostListClock.advance({ byMs: 10 });
    }
    await readEnded(this);
  },
);

Then('the followed hosts are {string}', function then(this: HostListWorld, names: string) {
  assert.equal(this.followedHosts.map(({ name }) => name).join(), names);
});

Then('a failure to read the host list was told', function then(this: HostListWorld) {
  assert.ok(this.failedReads > 0);
});

/** Waits until the reads that were due have ended, so that their sockets are not raced by the clock. */
async function readEnded(world: HostListWorld): Promise<void> {
  const due = Math.floor(world.hostListTimer.nowMs() / 10) + 1;
  while (world.readsEnded < due) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
