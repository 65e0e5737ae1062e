import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type LeaseClient,
  Membership,
  PrefixRelay,
  type PrefixChange,
  type PrefixSource,
  StatedEra,
} from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

interface RestoredMembersWorld {
  memberClock: ManualClock;
  memberTimer: TimerService;
  memberEra: StatedEra;
  statedMemberEra: number;
  membership: Membership;
  stopMembership: AbortController;
  memberRevision: number;
  /** Revisions by name. */
  storedMembers: Map<string, number>;
  memberHistory: PrefixChange[];
  nextLease: number;
  refusesLeases: boolean;
  endedLeases: number;
  wakeWatch: () => void;
}

const KEY_PREFIX = 'galenatiller/members/';
const REFUSED = { kind: 'refused', detail: 'refused' } as const;

function change(world: RestoredMembersWorld, name: string, kind: PrefixChange['kind']): void {
  world.memberRevision += 1;
  const [key, revision] = [`${KEY_PREFIX}${name}`, world.memberRevision];
  if (kind === 'put') {
    world.storedMembers.set(name, revision);
    const entry = { key, value: Buffer.from('10.0.0.1:1 2'), revision };
    world.memberHistory.push({ kind, entry });
  } else {
    world.storedMembers.delete(name);
    world.memberHistory.push({ kind, key, revision });
  }
  world.wakeWatch();
}

function createSource(world: RestoredMembersWorld): PrefixSource {
  return {
    readPage: () => {
      world.memberEra.observe(world.statedMemberEra);
      const entries = [...world.storedMembers].map(([name, revision]) => ({
        key: `${KEY_PREFIX}${name}`,
        value: Buffer.from('10.0.0.1:1 2'),
        revision,
      }));
      const storeRevision = world.memberRevision;
      return Promise.resolve(Result.ok({ entries, hasMore: false, storeRevision }));
    },
    waitForChanges: async ({ afterRevision, waitMs, signal }) => {
      if (world.memberRevision <= afterRevision) {
        const limit = world.memberTimer.startTimeLimit({ limitMs: waitMs, parent: signal });
        await new Promise<void>((resolve) => {
          world.wakeWatch = resolve;
          limit.signal.addEventListener('abort', () => resolve());
        });
        limit.release();
      }
      world.memberEra.observe(world.statedMemberEra);
      const changes = world.memberHistory.filter(
        (item) => (item.kind === 'put' ? item.entry.revision : item.revision) > afterRevision,
      );
      return Result.ok({ changes, storeRevision: world.memberRevision });
    },
  };
}

function createLeases(world: RestoredMembersWorld): LeaseClient {
  return {
    grant: ({ ttlMs }) => {
      world.memberEra.observe(world.statedMemberEra);
      world.nextLease += 1;
      const leaseId = String(world.nextLease);
      return Promise.resolve(
        world.refusesLeases ? Result.err(REFUSED) : Result.ok({ leaseId, ttlMs }),
      );
    },
    keepAlive: () => {
      world.memberEra.observe(world.statedMemberEra);
      return Promise.resolve(Result.ok('kept'));
    },
    put: ({ key }) => {
      change(world, key.slice(KEY_PREFIX.length), 'put');
      return Promise.resolve(Result.ok('written'));
    },
    revoke: () => {
      world.endedLeases += 1;
      return Promise.resolve();
    },
  };
}

function restore(world: RestoredMembersWorld, names: readonly string[]): void {
  world.statedMemberEra += 1;
  world.memberRevision = 1;
  world.storedMembers = new Map(names.map((name) => [name, 1]));
  world.memberHistory = [];
  world.wakeWatch();
}

Given(
  'a store with the members "n1", "n2" and "n3", watched by "n1"',
  async function given(this: RestoredMembersWorld) {
    this.memberClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.memberTimer = TimerService.create({ clock: this.memberClock });
    this.memberEra = StatedEra.create({ onEvent: () => {} });
    this.statedMemberEra = 1;
    this.memberRevision = 1;
    this.storedMembers = new Map([
      ['n2', 1],
      ['n3', 1],
    ]);
    this.memberHistory = [];
    this.nextLease = 0;
    this.refusesLeases = false;
    this.endedLeases = 0;
    this.wakeWatch = () => {};
    this.stopMembership = new AbortController();
    const relay = PrefixRelay.create({ timer: this.memberTimer, storeEra: this.memberEra });
    this.membership = Membership.create({
      observe: (observed) => relay.observe(observed),
      source: createSource(this),
      leases: createLeases(this),
      storeEra: this.memberEra,
      timer: this.memberTimer,
      self: { name: 'n1', address: '10.0.0.1:1', cpuCores: 2, availabilityZone: 'zone' },
      random: () => 0.5,
      writeIfUnchanged: () => Promise.resolve(Result.ok('written')),
      sharedWindowMs: 10_000,
      onChange: () => {},
      onEvent: () => {},
    });
    this.membership.run({ signal: this.stopMembership.signal }).catch((error: unknown) => {
      throw error;
    });
    await this.memberClock.advance({ byMs: 100 });
  },
);

After({ tags: '@membersRestored' }, async function after(this: RestoredMembersWorld) {
  this.stopMembership.abort();
  await this.memberClock.advance({ byMs: 6_000 });
});

When(
  /^the store comes back from a copy without "(n\d)"(, in which all leases have other owners|, refusing leases)?$/,
  function when(this: RestoredMembersWorld, missing: string, how: string | null) {
    this.refusesLeases = how === ', refusing leases';
    restore(
      this,
      ['n1', 'n2', 'n3'].filter((name) => name !== missing),
    );
  },
);

When('the store comes back from a copy with "n3"', function when(this: RestoredMembersWorld) {
  restore(this, ['n1', 'n2', 'n3']);
});

When('{string} leaves', async function when(this: RestoredMembersWorld, name: string) {
  change(this, name, 'delete');
  await this.memberClock.advance({ byMs: 10 });
});

When('"n1" leaves by itself', function when(this: RestoredMembersWorld) {
  this.membership.leave();
});

When('{string} registers', function when(this: RestoredMembersWorld, name: string) {
  change(this, name, 'put');
});

When('{int} ms pass for the members', function when(this: RestoredMembersWorld, byMs: number) {
  return this.memberClock.advance({ byMs });
});

Then('the store has the member {string}', function then(this: RestoredMembersWorld, name: string) {
  assert.ok(this.storedMembers.has(name));
});

Then('the live members are {string}', function then(this: RestoredMembersWorld, names: string) {
  const live = this.membership.liveMembers().map(({ name }) => name);
  assert.equal(live.sort().join(', '), names);
});

Then('no lease was ended', function then(this: RestoredMembersWorld) {
  assert.equal(this.endedLeases, 0);
});
