import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { createToken, type SentWrite } from '../src/createToken.js';
import { DutyFleet } from './dutyFleet.js';
import type { StoreCopy } from './fakeStore.js';

interface DutyWorld {
  fleet: DutyFleet;
  firstToken: number;
  lastToken: number;
  storeCopy: StoreCopy;
  renewal: Promise<boolean>;
  isSuspended: boolean;
  sentWrite: SentWrite;
  createdToken: number;
}

const KEY = 'galenatiller/duties/usage';
const SETTLE_MS = 2_000;

/** Renewals of the membership lease in ten seconds, and one more. */
const MAX_RENEWALS = 13;

Given(
  'the routers "a", "b" and "c" share a duty, which "a" holds',
  async function given(this: DutyWorld) {
    this.fleet = DutyFleet.create();
    this.fleet.start('a');
    await this.fleet.advance(SETTLE_MS);
    ['b', 'c'].forEach((name) => this.fleet.start(name));
    await this.fleet.advance(SETTLE_MS);
    assert.deepEqual(this.fleet.holders(), ['a']);
    this.firstToken = this.fleet.acts.at(-1)?.token ?? 0;
    this.lastToken = this.firstToken;
    this.fleet.routers.forEach((router) => {
      router.calls = 0;
      router.conditionalWrites = 0;
    });
  },
);

After({ tags: '@duty' }, function after(this: Partial<DutyWorld>) {
  this.fleet?.end();
});

When(/^(?:the holder )?"(\w)" is killed$/, function when(this: DutyWorld, name: string) {
  this.fleet.get(name).kill();
});

When(
  /^the holder "(\w)" is paused( with its monotonic clock)?$/,
  function when(this: DutyWorld, name: string, suspended: string | null) {
    this.isSuspended = suspended !== null;
    this.fleet.get(name).pause();
  },
);

When('{string} is woken after that', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).wakeUp({ wasSuspended: this.isSuspended });
  this.fleet.look();
});

When('{int} ms pass for the duty', function when(this: DutyWorld, byMs: number) {
  return this.fleet.advance(byMs);
});

When('{string} is cut off from the store', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).isCut = true;
});

When('{string} reaches the store again', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).isCut = false;
});

When(
  'the store ends the lease of {string} too early',
  function when(this: DutyWorld, name: string) {
    this.fleet.store.dropLease(`galenatiller/members/${name}`);
  },
);

When('a call of {string} is rejected', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).duty.onRefused(this.firstToken);
});

When(
  'calls of {string} are rejected {int} times',
  async function when(this: DutyWorld, name: string, times: number) {
    const { duty } = this.fleet.get(name);
    for (let count = 0; count < times; count += 1) {
      duty.onRefused(duty.current()?.token ?? 0);
      await this.fleet.advance(1_000);
    }
  },
);

Then('its tokens have grown by more than {int}', function then(this: DutyWorld, least: number) {
  const token = this.fleet.acts.at(-1)?.token ?? 0;
  assert.ok(token - this.firstToken > least, `${token} after ${this.firstToken}`);
});

Given('the answers to writes of {string} are lost', function given(this: DutyWorld, name: string) {
  this.fleet.get(name).writes = 'answer-lost';
});

Given(
  'changes are received {int} ms late by {string}',
  function given(this: DutyWorld, lagMs: number, name: string) {
    this.fleet.get(name).watchLagMs = lagMs;
  },
);

When('{string} learns that the store was restored', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).onEra(2);
});

Given('the writes of {string} are executed late', function given(this: DutyWorld, name: string) {
  this.fleet.get(name).writes = 'executed-late';
});

Given(
  'the wall clock of {string} jumps by {int} ms',
  function given(this: DutyWorld, name: string, byMs: number) {
    this.fleet.get(name).wallOffsetMs = byMs;
  },
);

Given('a copy of the store', function given(this: DutyWorld) {
  this.storeCopy = this.fleet.store.copy();
});

When('the store is restored from the copy', function when(this: DutyWorld) {
  this.fleet.store.restore(this.storeCopy);
});

When('the store is restored without the duty', function when(this: DutyWorld) {
  const { entries, revision } = this.fleet.store.copy();
  const kept = [...entries].filter(([key]) => key !== KEY);
  this.fleet.store.restore({ entries: new Map(kept), revision });
});

When(/^(?:the holder )?"(\w)" is asked to stop$/, function when(this: DutyWorld, name: string) {
  this.fleet.get(name).leave().catch(assert.ifError);
});

When(
  '{string} is asked to stop and "b" takes the duty',
  async function when(this: DutyWorld, name: string) {
    this.fleet.get(name).leave().catch(assert.ifError);
    await this.fleet.advance(200);
    assert.deepEqual(this.fleet.holders(), ['b']);
    this.lastToken = this.fleet.acts.at(-1)?.token ?? 0;
  },
);

When('{string} starts again', function when(this: DutyWorld, name: string) {
  this.fleet.start(name);
});

When('{string} renews its token', async function when(this: DutyWorld, name: string) {
  const { signal } = new AbortController();
  this.renewal = this.fleet.get(name).duty.renewToken({ signal });
  await this.fleet.advance(500);
});

Then('the renewal succeeds', async function then(this: DutyWorld) {
  assert.equal(await this.renewal, true);
});

Then('the renewal fails', async function then(this: DutyWorld) {
  assert.equal(await this.renewal, false);
});

When('another program writes the entry of the duty', async function when(this: DutyWorld) {
  const write = this.fleet.store.createWriter({
    isCut: false,
    writes: 'answered',
    watchLagMs: 0,
    calls: 0,
    conditionalWrites: 0,
    whenRunning: () => Promise.resolve(),
    onEra: () => {},
  });
  const { revision = 0 } = this.fleet.store.copy().entries.get(KEY) ?? {};
  const { signal } = new AbortController();
  const value = Buffer.from('nobody');
  const written = write({ key: KEY, value, expectedRevision: revision, signal });
  await this.fleet.advance(100);
  assert.ok((await written).isOk);
});

Then('no rule of duties is broken', function then(this: DutyWorld) {
  assert.equal(this.fleet.findViolation(), undefined);
});

Then('no router holds the duty', function then(this: DutyWorld) {
  assert.deepEqual(this.fleet.holders(), []);
});

Then(
  '{string} holds the duty with a higher token, and no rule of duties is broken',
  function then(this: DutyWorld, name: string) {
    assert.deepEqual(this.fleet.holders(), [name]);
    const token = this.fleet.acts.at(-1)?.token ?? 0;
    assert.ok(token > this.lastToken, `${token} after ${this.lastToken}`);
    assert.equal(this.fleet.findViolation(), undefined);
    this.lastToken = token;
  },
);

Then(
  '{string} still holds the duty with its first token',
  function then(this: DutyWorld, name: string) {
    assert.deepEqual(this.fleet.holders(), [name]);
    assert.equal(this.fleet.acts.at(-1)?.token, this.firstToken);
    assert.equal(this.fleet.findViolation(), undefined);
  },
);

Then(
  '{string} has made at most {int} calls besides the renewals of its lease',
  function then(this: DutyWorld, name: string, most: number) {
    const { calls } = this.fleet.get(name);
    assert.ok(calls <= most + MAX_RENEWALS, `${calls} calls`);
  },
);

Then('{string} has written no entry of a duty', function then(this: DutyWorld, name: string) {
  assert.equal(this.fleet.get(name).conditionalWrites, 0);
});

Then('{string} has reported {string}', function then(this: DutyWorld, name: string, list: string) {
  const { events } = this.fleet.get(name);
  assert.equal(events.map(({ kind, holder }) => `${kind} ${holder}`).join(', '), list);
  assert.ok(events.every(({ token, sinceMs }) => token > 0 && sinceMs > 0));
});

Then(
  'the candidates of {string} are {string}',
  function then(this: DutyWorld, name: string, list: string) {
    assert.equal(this.fleet.get(name).duty.candidates().join(', '), list);
  },
);

When('{string} releases its duties', function when(this: DutyWorld, name: string) {
  this.fleet.get(name).duties.release().catch(assert.ifError);
});

Given(
  'a write of the token {int} under the lease {int} at the revision {int}, without an answer',
  function given(this: DutyWorld, token: number, generation: number, expectedRevision: number) {
    this.sentWrite = { token, generation, expectedRevision, rises: 0 };
  },
);

When(
  'a token is created under the lease {int} at the revision {int}',
  function when(this: DutyWorld, generation: number, revision: number) {
    const entry = { holder: 'b', token: 400, former: [] };
    this.createdToken = createToken({
      stored: { entry, revision },
      generation,
      rises: 0,
      wallMs: 100,
      sent: this.sentWrite,
      highestToken: this.sentWrite.token,
      refusals: 0,
    });
  },
);

Then('it is {int}', function then(this: DutyWorld, token: number) {
  assert.equal(this.createdToken, token);
});
