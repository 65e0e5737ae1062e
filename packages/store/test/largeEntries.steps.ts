import assert from 'node:assert/strict';
import { createCipheriv } from 'node:crypto';

import { Then, When } from '@cucumber/cucumber';

import {
  applyChange,
  createFollowerSource,
  createMirror,
  passTime,
  PREFIX,
  type RelayWorld,
} from './relayWorld.js';

When(
  'an entry of {int} bytes is added to the store',
  function when(this: RelayWorld, bytes: number) {
    this.largeValue = createNoise(bytes, 0);
    this.store.put('large', this.largeValue);
  },
);

When(
  '{int} bytes in the middle of the large entry are replaced by {int} others',
  function when(this: RelayWorld, removed: number, added: number) {
    const middle = this.largeValue.length / 2;
    const [before, after] = [
      this.largeValue.subarray(0, middle),
      this.largeValue.subarray(middle + removed),
    ];
    this.largeValue = Buffer.concat([before, createNoise(added, 1), after]);
    this.linkBytes = 0;
    this.store.put('large', this.largeValue);
  },
);

When(
  'the reader is silent while the large entry is replaced as a whole {int} times',
  async function when(this: RelayWorld, times: number) {
    this.mode = 'silent';
    this.store.cutOff.add('follower');
    for (let replaced = 0; replaced < times; replaced += 1) {
      this.largeValue = createNoise(this.largeValue.length, replaced + 2);
      this.store.put('large', this.largeValue);
      await passTime(this, 1_000);
    }
    this.linkBytes = 0;
    this.mode = 'up';
    await passTime(this, 5_000);
  },
);

When(
  '{int} entries are added to the store at once',
  function when(this: RelayWorld, count: number) {
    Array.from({ length: count }).forEach((_, index) =>
      this.store.put(`entry-${index}`, createNoise(100, index)),
    );
  },
);

When('a second follower starts', function when(this: RelayWorld) {
  this.directReads = 0;
  this.secondKeys = new Set();
  const follower = createMirror(this, createFollowerSource(this), this.followerEra, {
    onEntries: (entries) => {
      this.secondKeys = new Set(entries.map(({ key }) => key.slice(PREFIX.length)));
    },
    onChange: (change) => applyChange(this.secondKeys, change),
  });
  follower.run({ signal: this.stopRelay.signal }).catch(assert.ifError);
});

Then('the follower knows all entries of the store', function then(this: RelayWorld) {
  assert.deepEqual([...this.followerKeys].sort(), this.store.names());
});

Then(
  'the second follower knows all entries of the store without reading it',
  function then(this: RelayWorld) {
    assert.deepEqual([...this.secondKeys].sort(), this.store.names());
    assert.equal(this.directReads, 0);
  },
);

Then('the follower has the large entry as it is in the store', function then(this: RelayWorld) {
  assert.equal(this.followerValue?.equals(this.largeValue), true);
});

Then(
  'under {int} bytes went over the link for the last change',
  function then(this: RelayWorld, maxBytes: number) {
    assert.equal(this.linkBytes < maxBytes, true, `${this.linkBytes} bytes`);
    assert.equal(this.linkBytes > 0, true);
  },
);

/** Bytes without a pattern, the same for the same seed. */
function createNoise(bytes: number, seed: number): Buffer {
  const key = Buffer.alloc(32, `seed ${seed}`);
  return createCipheriv('aes-256-ctr', key, Buffer.alloc(16)).update(Buffer.alloc(bytes));
}
