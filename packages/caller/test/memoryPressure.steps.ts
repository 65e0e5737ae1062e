import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryPressure } from '@galenatiller/caller';

interface PressureWorld {
  pressure: MemoryPressure;
  collection: string;
}

const BYTES_PER_MB = 1_048_576;

Given(
  'a machine with {int} MB, whose last full collection left {int} MB of buffers',
  function given(this: PressureWorld, memoryMb: number, usedMb: number) {
    this.pressure = MemoryPressure.create({ memoryMb });
    this.pressure.recordCollected(usedMb * BYTES_PER_MB);
  },
);

When(
  '{int} bytes have been read, {int} MB are resident and the buffers take {int} MB',
  function when(this: PressureWorld, readBytes: number, residentMb: number, usedMb: number) {
    this.pressure.recordRead(readBytes);
    this.collection = this.pressure.choose({
      residentBytes: residentMb * BYTES_PER_MB,
      bufferBytes: usedMb * BYTES_PER_MB,
    });
  },
);

Then('the collection is {string}', function then(this: PressureWorld, collection: string) {
  assert.equal(this.collection, collection);
});

Then(
  '{int} parts of {int} bytes cause {int} looks',
  function then(this: PressureWorld, parts: number, bytes: number, looks: number) {
    const seen = Array.from({ length: parts }, () => {
      const mustLook = this.pressure.recordRead(bytes);
      if (mustLook) {
        this.pressure.choose({ residentBytes: 0, bufferBytes: 0 });
      }
      return mustLook;
    });
    assert.equal(seen.filter(Boolean).length, looks);
  },
);
