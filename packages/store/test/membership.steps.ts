import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type LeaseClient,
  type Member,
  MEMBER_LEASE_MS,
  Membership,
  PrefixRelay,
  type PrefixEntry,
  type PrefixSource,
  type ReadFailure,
  StatedEra,
} from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

interface MembersWorld {
  membersClock: ManualClock;
  memberStore: MemberStore;
  memberships: Map<string, Membership>;
  stopMembers: AbortController;
  generationBefore: number;
}

const AWAY: ReadFailure = { kind: 'unanswered', detail: 'scripted' };
const SETTLE_MS = 2_500;
const POLL_MS = 20;

/** A store of leased entries in memory. */
class MemberStore {
  isAway = false;

  /** Clients whose calls about leases get no answer; they still read. */
  readonly cutOff = new Set<string>();

  /** The answer to the next write is lost, and the write is done this much later. */
  nextWriteLateMs: number | undefined;

  private readonly leaseEndsAtMs = new Map<string, number>();

  private readonly entries = new Map<string, PrefixEntry & { readonly leaseId: string }>();

  private revision = 1;

  private clients = 0;

  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): MemberStore {
    return new MemberStore(timer);
  }

  /** Writes an entry, unless its lease has ended; it is removed when its lease ends. */
  put(key: string, value: Buffer, leaseId: string): 'written' | 'ended' {
    if (this.timer.nowMs() >= (this.leaseEndsAtMs.get(leaseId) ?? Infinity)) {
      return 'ended';
    }
    this.revision += 1;
    this.entries.set(key, { key, value, revision: this.revision, leaseId });
    return 'written';
  }

  /** Starts or renews a lease. */
  keep(leaseId: string): void {
    const endsAtMs = this.timer.nowMs() + MEMBER_LEASE_MS;
    this.leaseEndsAtMs.set(leaseId, endsAtMs);
    this.timer.after({
      delayMs: MEMBER_LEASE_MS,
      notify: () => {
        if (this.leaseEndsAtMs.get(leaseId) === endsAtMs) {
          this.removeEntries(leaseId);
        }
      },
    });
  }

  private removeEntries(leaseId: string): void {
    const owned = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    owned.forEach(({ key }) => this.entries.delete(key));
    this.revision += 1;
  }

  readonly source: PrefixSource = {
    readPage: () => Promise.resolve(this.isAway ? Result.err(AWAY) : Result.ok(this.readPage())),
    // Each change of the revision is answered as lost history, so that all entries are read again.
    waitForChanges: async ({ afterRevision, waitMs }) => {
      const untilMs = this.timer.nowMs() + waitMs;
      while (!this.isAway && this.revision === afterRevision && this.timer.nowMs() < untilMs) {
        await this.timer.sleep({ delayMs: POLL_MS });
      }
      if (this.isAway) {
        return Result.err(AWAY);
      }
      return this.revision === afterRevision
        ? Result.ok({ changes: [], storeRevision: this.revision })
        : Result.err({ kind: 'history-lost', detail: 'scripted' });
    },
  };

  createLeases(name: string): LeaseClient {
    let granted = 0;
    this.clients += 1;
    const prefix = this.clients;
    return {
      grant: ({ ttlMs }) => {
        granted += 1;
        const leaseId = `${prefix}-${granted}`;
        return this.call(name, () => {
          this.keep(leaseId);
          return { leaseId, ttlMs };
        });
      },
      keepAlive: ({ leaseId }) =>
        this.call(name, () => {
          const isOver = this.timer.nowMs() >= (this.leaseEndsAtMs.get(leaseId) ?? 0);
          if (!isOver) {
            this.keep(leaseId);
          }
          return isOver ? 'ended' : 'kept';
        }),
      put: ({ key, value, leaseId }) => {
        const delayMs = this.nextWriteLateMs;
        this.nextWriteLateMs = undefined;
        if (delayMs === undefined) {
          return this.call(name, () => this.put(key, value, leaseId));
        }
        this.timer.after({ delayMs, notify: () => this.put(key, value, leaseId) });
        return Promise.resolve(Result.err(AWAY));
      },
      revoke: async ({ leaseId }) => {
        await this.call(name, () => {
          this.leaseEndsAtMs.set(leaseId, 0);
          this.removeEntries(leaseId);
        });
      },
    };
  }

  private readPage(): {
    readonly entries: readonly PrefixEntry[];
    readonly hasMore: boolean;
    readonly storeRevision: number;
  } {
    return { entries: [...this.entries.values()], hasMore: false, storeRevision: this.revision };
  }

  private call<Value>(name: string, run: () => Value): Promise<Result<Value, ReadFailure>> {
    const isUnanswered = this.isAway || this.cutOff.has(name);
    return Promise.resolve(isUnanswered ? Result.err(AWAY) : Result.ok(run()));
  }
}

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
