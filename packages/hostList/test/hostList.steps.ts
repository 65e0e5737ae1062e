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
  stopPolling: AbortController;
  fetchesEnded: number;
  polledHosts: readonly Host[];
  failedFetches: number;
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
  this.stopPolling = new AbortController();
  Object.assign(this, { polledHosts: [], failedFetches: 0, fetchesEnded: 0 });
});

After({ tags: '@hostList' }, function after(this: Partial<HostListWorld>) {
  this.stopPolling?.abort();
  return this.fakeHostList?.close();
});

Given('the host list is polled every {int} ms', function given(this: HostListWorld, intervalMs) {
  const polling = pollHosts({
    url: this.fakeHostList.url,
    timer: this.hostListTimer,
    signal: this.stopPolling.signal,
    intervalMs,
    onHosts: (hosts) => {
      this.polledHosts = hosts;
      this.fetchesEnded += 1;
    },
    onFailure: () => {
      this.failedFetches += 1;
      this.fetchesEnded += 1;
    },
  });
  polling.catch(assert.fail);
});

When('the platform lists the host {string}', function when(this: HostListWorld, name: string) {
  this.fakeHostList.setHosts([{ ...HOST, name }]);
});

When(
  /^the platform lists the host "([^"]*)" and one whose (\w+) is (.+)$/,
  function when(this: HostListWorld, name: string, field: string, value: string) {
    const odd = { ...HOST, name: 'odd', [field]: JSON.parse(value) as never };
    this.fakeHostList.setHosts([odd, { ...HOST, name }]);
  },
);

When('the host list goes down', function when(this: HostListWorld) {
  return this.fakeHostList.close();
});

When(
  'the clock of the host list advances by {int} ms',
  async function when(this: HostListWorld, byMs: number) {
    for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
      await waitForDueFetches(this);
      await this.hostListClock.advance({ byMs: 10 });
    }
    await waitForDueFetches(this);
  },
);

Then('the polled hosts are {string}', function then(this: HostListWorld, names: string) {
  assert.equal(this.polledHosts.map(({ name }) => name).join(), names);
});

Then('a failure to fetch the host list was reported', function then(this: HostListWorld) {
  assert.ok(this.failedFetches > 0);
});

/** Waits until all due fetches have ended, so that the clock does not race their sockets. */
async function waitForDueFetches(world: HostListWorld): Promise<void> {
  const due = Math.floor(world.hostListTimer.nowMs() / 10) + 1;
  while (world.fetchesEnded < due) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
