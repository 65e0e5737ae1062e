import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { type Member, Membership, PrefixRelay, StatedEra } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import { MemberStore, POLL_MS } from './memberStore.js';

interface MembersWorld {
  membersClock: ManualClock;
  memberStore: MemberStore;
  memberships: Map<string, Membership>;
  stopMembers: AbortController;
  generationBefore: number;
}

const SETTLE_MS = 2_500;
const SHARED_WINDOW_MS = 10_000;

Given(
  'the nodes {string} and {string} are members',
  async function given(this: MembersWorld, first: string, second: string) {
    this.membersClock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock: this.membersClock });
    this.memberStore = MemberStore.create(timer);
    this.stopMembers = new AbortController();
    this.memberships = new Map();
    [first, second].forEach((name) => startMember(this, name, timer));
    await this.membersClock.advance({ byMs: SETTLE_MS });
  },
);

function startMember(world: MembersWorld, name: string, timer: TimerService): void {
  const storeEra = StatedEra.create({ onEvent: () => {} });
  const relay = PrefixRelay.create({ timer, storeEra });
  const membership = Membership.create({
    observe: (observed) => relay.observe(observed),
    source: world.memberStore.source,
    leases: world.memberStore.createLeases(name),
    storeEra,
    timer,
    self: { name, address: '10.0.0.1:1', cpuCores: 1, availabilityZone: 'zone' },
    random: () => 0.5,
    writeIfUnchanged: ({ key }) => Promise.resolve(Result.ok(world.memberStore.writeOnce(key))),
    sharedWindowMs: SHARED_WINDOW_MS,
    onChange: () => {},
    onEvent: () => {},
  });
  world.memberships.set(name, membership);
  membership.run({ signal: world.stopMembers.signal }).catch(() => {});
}

After({ tags: '@membership' }, function after(this: Partial<MembersWorld>) {
  this.stopMembers?.abort();
});

Given('the store of the members is away', function given(this: MembersWorld) {
  this.memberStore.isAway = true;
});

When('the store of the members is back', async function when(this: MembersWorld) {
  await this.membersClock.advance({ byMs: SETTLE_MS });
  this.memberStore.isAway = false;
  await this.membersClock.advance({ byMs: SETTLE_MS });
});

When('node {string} begins to leave', async function when(this: MembersWorld, name: string) {
  this.memberships.get(name)?.startLeaving();
  await this.membersClock.advance({ byMs: SETTLE_MS });
});

When('node {string} has left', async function when(this: MembersWorld, name: string) {
  this.memberships.get(name)?.leave();
  await this.membersClock.advance({ byMs: SETTLE_MS });
});

When(
  'an older node writes the entry {string} as {string}',
  async function when(this: MembersWorld, value: string, name: string) {
    this.memberStore.put(`galenatiller/members/${name}`, Buffer.from(value), 'older');
    await this.membersClock.advance({ byMs: SETTLE_MS });
  },
);

Given(
  'the nodes {string} and {string} have joined',
  async function given(this: MembersWorld, first: string, second: string) {
    const timer = TimerService.create({ clock: this.membersClock });
    [first, second].forEach((name) => startMember(this, name, timer));
    await this.membersClock.advance({ byMs: SETTLE_MS });
  },
);

When(
  'node {string} is cut off from renewing its lease',
  function when(this: MembersWorld, name: string) {
    this.memberStore.cutOff.add(name);
  },
);

When('node {string} renews its lease again', function when(this: MembersWorld, name: string) {
  this.memberStore.cutOff.delete(name);
});

Then(
  'node {string} counts {int} nodes',
  function then(this: MembersWorld, name: string, nodes: number) {
    assert.equal(this.memberships.get(name)?.countNodes(), nodes);
  },
);

Then(
  'node {string} counts {int} nodes in the window',
  function then(this: MembersWorld, name: string, nodes: number) {
    assert.equal(this.memberships.get(name)?.countNodesInWindow(), nodes);
  },
);

Then(
  /^node "(\w+)" (has|does not have) a whole share$/,
  function then(this: MembersWorld, name: string, has: string) {
    assert.equal(this.memberships.get(name)?.hasWholeShare(), has === 'has');
  },
);

When(
  'node {string} is killed and starts again',
  async function when(this: MembersWorld, name: string) {
    startMember(this, name, TimerService.create({ clock: this.membersClock }));
    await this.membersClock.advance({ byMs: SETTLE_MS });
  },
);

Then(
  'the whole shares of the nodes in the window sum to at most 1 at each moment of {int} ms',
  async function then(this: MembersWorld, forMs: number) {
    for (let atMs = 0; atMs < forMs; atMs += POLL_MS) {
      const shares = [...this.memberships.values()].map((node) =>
        node.hasWholeShare() ? 1 / node.countNodesInWindow() : 0,
      );
      const sum = shares.reduce((total, share) => total + share, 0);
      // The shares of four nodes are not exact in floating point.
      assert.ok(sum < 1.000_001, `${shares.join(', ')} after ${atMs} ms`);
      await this.membersClock.advance({ byMs: POLL_MS });
    }
  },
);

Then(
  'the shares of the nodes sum to at most 1 at each moment of {int} ms',
  async function then(this: MembersWorld, forMs: number) {
    for (let atMs = 0; atMs < forMs; atMs += POLL_MS) {
      const counts = [...this.memberships.values()].map((node) => node.countNodes());
      const sum = counts.reduce((total, nodes) => total + 1 / nodes, 0);
      // The shares of four nodes are not exact in floating point.
      assert.ok(sum < 1.000_001, `${counts.join(', ')} after ${atMs} ms`);
      await this.membersClock.advance({ byMs: POLL_MS });
    }
  },
);

Given(
  'the answer to the next write is lost, and it is done {int} ms later',
  function given(this: MembersWorld, lateMs: number) {
    this.memberStore.nextWriteLateMs = lateMs;
  },
);

When('the node {string} joins', function when(this: MembersWorld, name: string) {
  startMember(this, name, TimerService.create({ clock: this.membersClock }));
});

When(
  'a process that was killed writes the entry of {string} late, as one that stays',
  function when(this: MembersWorld, name: string) {
    this.generationBefore = this.memberships.get(name)?.ownLease()?.generation ?? 0;
    this.memberStore.keep('killed');
    const value = Buffer.from('10.0.0.1:1 1 staying zone');
    this.memberStore.put(`galenatiller/members/${name}`, value, 'killed');
  },
);

When(
  '{int} ms pass at the store of the members',
  async function when(this: MembersWorld, byMs: number) {
    await this.membersClock.advance({ byMs });
  },
);

Then(
  'node {string} has a lease of a later generation',
  function then(this: MembersWorld, name: string) {
    const lease = this.memberships.get(name)?.ownLease();
    assert.equal(lease?.generation, this.generationBefore + 1);
  },
);

Then('node {string} sees {string}', function then(this: MembersWorld, name: string, seen: string) {
  const shown = liveMembers(this, name).map((member) =>
    member.leavingSince > 0 ? `${member.name} leaving` : member.name,
  );
  assert.equal(shown.sort().join(','), seen);
});

Then(
  'node {string} sees {string} leaving before {string}',
  function then(this: MembersWorld, name: string, first: string, second: string) {
    const members = new Map(liveMembers(this, name).map((member) => [member.name, member]));
    const before = members.get(first)?.leavingSince ?? 0;
    assert.ok(before > 0 && before < (members.get(second)?.leavingSince ?? 0));
  },
);

function liveMembers(world: MembersWorld, name: string): readonly Member[] {
  return world.memberships.get(name)?.liveMembers() ?? [];
}
