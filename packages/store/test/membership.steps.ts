import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type LeaseClient,
  type Member,
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
}

const AWAY: ReadFailure = { kind: 'unanswered', detail: 'scripted' };
const SETTLE_MS = 2_500;
const POLL_MS = 20;

/** A store of leased entries in memory. */
class MemberStore {
  isAway = false;

  private readonly entries = new Map<string, PrefixEntry & { readonly leaseId: string }>();

  private revision = 1;

  private clients = 0;

  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): MemberStore {
    return new MemberStore(timer);
  }

  put(key: string, value: Buffer, leaseId: string): void {
    this.revision += 1;
    this.entries.set(key, { key, value, revision: this.revision, leaseId });
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

  createLeases(): LeaseClient {
    let granted = 0;
    this.clients += 1;
    const prefix = this.clients;
    return {
      grant: ({ ttlMs }) => {
        granted += 1;
        return this.call(() => ({ leaseId: `${prefix}-${granted}`, ttlMs }));
      },
      keepAlive: () => this.call(() => 'kept' as const),
      put: ({ key, value, leaseId }) =>
        this.call(() => {
          this.put(key, value, leaseId);
          return 'written' as const;
        }),
      revoke: async ({ leaseId }) => {
        await this.call(() => {
          const owned = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
          owned.forEach(({ key }) => this.entries.delete(key));
          this.revision += 1;
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

  private call<Value>(run: () => Value): Promise<Result<Value, ReadFailure>> {
    return Promise.resolve(this.isAway ? Result.err(AWAY) : Result.ok(run()));
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
    [first, second].forEach((name) => {
      const storeEra = StatedEra.create({ onEvent: () => {} });
      const relay = PrefixRelay.create({ timer, storeEra });
      const membership = Membership.create({
        observe: (observed) => relay.observe(observed),
        source: this.memberStore.source,
        leases: this.memberStore.createLeases(),
        storeEra,
        timer,
        self: { name, address: '10.0.0.1:1', cpuCores: 1, availabilityZone: 'zone' },
        random: () => 0.5,
        onChange: () => {},
        onEvent: () => {},
      });
      this.memberships.set(name, membership);
      membership.run({ signal: this.stopMembers.signal }).catch(() => {});
    });
    await this.membersClock.advance({ byMs: SETTLE_MS });
  },
);

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
