import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { PrefixRelay, StatedEra } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { RelayStore } from './relayStore.js';
import {
  applyChange,
  createFollowerSource,
  createMirror,
  isEquivalent,
  LARGE_KEY,
  passTime,
  PREFIX,
  type RelayWorld,
} from './relayWorld.js';

Given(
  'a reader of a store that contains "a" and "b", and a follower that reads through it',
  async function given(this: RelayWorld) {
    this.clock = ManualClock.create({ startWallMs: 1_000_000 });
    this.timer = TimerService.create({ clock: this.clock });
    this.store = RelayStore.create(this.timer);
    this.store.put('a');
    this.store.put('b');
    this.followerKeys = new Set();
    this.toldChanges = 0;
    this.readerChanges = 0;
    this.mode = 'up';
    this.wasTooYoung = false;
    this.maxAgeMs = 0;
    this.stopRelay = new AbortController();
    const { signal } = this.stopRelay;
    this.readerEra = StatedEra.create({ onEvent: () => {} });
    this.relay = PrefixRelay.create({ timer: this.timer, storeEra: this.readerEra });
    const readerSource = this.store.createSource(this.readerEra, 'reader');
    this.reader = createMirror(this, readerSource, this.readerEra, {
      observer: this.relay.observe({ prefix: PREFIX, isEquivalent }),
      onEntries: () => {},
      onChange: () => {
        this.readerChanges += 1;
      },
    });
    this.followerEra = StatedEra.create({ onEvent: () => {} });
    this.follower = createMirror(this, createFollowerSource(this), this.followerEra, {
      onEntries: (entries) => {
        this.followerKeys = new Set(entries.map(({ key }) => key.slice(PREFIX.length)));
        this.followerValue = entries.find(({ key }) => key === LARGE_KEY)?.value;
      },
      onChange: (change) => {
        this.toldChanges += 1;
        applyChange(this.followerKeys, change);
        if (change.kind === 'put' && change.entry.key === LARGE_KEY) {
          this.followerValue = change.entry.value;
        }
      },
    });
    this.reader.run({ signal }).catch(assert.ifError);
    await this.clock.advance({ byMs: 50 });
    this.follower.run({ signal }).catch(assert.ifError);
    await this.clock.advance({ byMs: 50 });
    this.directReads = 0;
    this.linkBytes = 0;
    this.toldChanges = 0;
  },
);

After({ tags: '@relay' }, function after(this: RelayWorld) {
  this.stopRelay.abort();
});

When('"c" is added to the read store and "a" is deleted from it', function when(this: RelayWorld) {
  this.store.put('c');
  this.store.remove('a');
});

When(
  /^"a" is written again( unchanged)? (\d+) times? in (\d+) ms$/,
  async function when(this: RelayWorld, _: string | null, count: string, forMs: string) {
    const [times, inMs] = [Number(count), Number(forMs)];
    this.readerChanges = 0;
    this.toldChanges = 0;
    for (let written = 0; written < times; written += 1) {
      this.store.put('a');
      await passTime(this, inMs / times);
    }
  },
);

When('each response of the store takes {int} ms', function when(this: RelayWorld, delayMs: number) {
  this.store.delayMs = delayMs;
});

When('{int} ms pass at the follower', function when(this: RelayWorld, byMs: number) {
  return passTime(this, byMs);
});

When('the reader is killed', function when(this: RelayWorld) {
  this.mode = 'killed';
});

When('the reader is silent', function when(this: RelayWorld) {
  this.mode = 'silent';
});

When('the reader gives no parts', function when(this: RelayWorld) {
  this.mode = 'without-parts';
});

When('the reader gives parts of another value', function when(this: RelayWorld) {
  this.mode = 'other-parts';
});

When('the reader gives parts in another order', function when(this: RelayWorld) {
  this.mode = 'shuffled-parts';
});

When('the reader answers 3000 ms late', function when(this: RelayWorld) {
  this.mode = 'late';
});

When('the reader answers with what it knew', function when(this: RelayWorld) {
  this.mode = 'stale';
});

When('the reader is cut off from the store', function when(this: RelayWorld) {
  this.store.cutOff.add('reader');
});

When('the store is away for {int} ms', async function when(this: RelayWorld, forMs: number) {
  this.store.cutOff.add('reader').add('follower');
  await passTime(this, forMs);
});

When(
  'the follower has read the store itself up to a later change, and loses its history',
  function when(this: RelayWorld) {
    this.store.cutOff.add('reader');
    this.store.remove('a');
  },
);

Then('it does not take the older entries of the reader', async function then(this: RelayWorld) {
  this.mode = 'stale';
  await passTime(this, 1_500);
  const { signal } = this.stopRelay;
  // A reader that gave no usable answer isn't asked for a while, so that another source has to ask it.
  const reading = createFollowerSource(this).readPage({
    prefix: PREFIX,
    afterKey: '',
    seenRevision: this.store.revision,
    signal,
  });
  await passTime(this, 1_000);
  const page = await reading;
  const keys = page.map(({ entries }) => entries.map(({ key }) => key)).unwrapOr([]);
  assert.deepEqual(keys, ['p/b']);
});

When('the follower has seen the restored store before the reader', function when(this: RelayWorld) {
  this.store.cutOff.add('reader');
  this.store.restore([['b', 1]]);
  this.followerEra.observe(this.store.era);
});

Then('it does not take what the reader read before', async function then(this: RelayWorld) {
  this.mode = 'stale';
  await passTime(this, 500);
  assert.deepEqual([...this.followerKeys], ['b']);
});

When(
  'the store is restored without "b", and the reader has read it',
  async function when(this: RelayWorld) {
    this.store.restore([['a', 1]]);
    await passTime(this, 2_500);
  },
);

Then(
  'the follower reads everything again and knows {string}',
  function then(this: RelayWorld, keys: string) {
    assert.equal(this.followerEra.rises, 1);
    assert.deepEqual([...this.followerKeys].sort(), keys.split(', '));
  },
);

Then('the follower knows {string}', function then(this: RelayWorld, keys: string) {
  assert.deepEqual([...this.followerKeys].sort(), keys.split(', '));
});

Then(
  'it has read the store {int} times since it found the reader',
  function then(this: RelayWorld, reads: number) {
    assert.equal(this.directReads, reads);
  },
);

Then('neither the reader nor the follower was told of a change', function then(this: RelayWorld) {
  assert.deepEqual([this.readerChanges, this.toldChanges], [0, 0]);
});

Then('both the reader and the follower were told of a change', function then(this: RelayWorld) {
  assert.deepEqual([this.readerChanges, this.toldChanges], [1, 1]);
});

Then('it has read the store itself', function then(this: RelayWorld) {
  assert.equal(this.directReads > 0, true);
});

Then(
  'the evidence of the follower was never younger than that of the reader when it was given',
  function then(this: RelayWorld) {
    assert.equal(this.wasTooYoung, false);
  },
);

Then('its evidence was never over {int} ms old', function then(this: RelayWorld, maxAgeMs: number) {
  assert.equal(this.maxAgeMs <= maxAgeMs, true, `it was ${this.maxAgeMs} ms old`);
});

Then(
  'the evidence of the follower is at least {int} ms old',
  function then(this: RelayWorld, ageMs: number) {
    const actualMs = this.follower.evidenceAgeMs();
    assert.equal(actualMs >= ageMs, true, `it is ${actualMs} ms old`);
  },
);
