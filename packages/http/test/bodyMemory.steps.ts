import assert from 'node:assert/strict';
import { setImmediate } from 'node:timers/promises';

import { Given, Then, When } from '@cucumber/cucumber';
import { BodyMemory, readAll, readParts } from '@galenatiller/http';

interface BodyMemoryWorld {
  bodyMemory: BodyMemory;
  wholeSizes: number[];
  partsRead: number;
  giveTurn: () => void;
  whole: Promise<readonly Buffer[]>;
  parts: number;
}

const MAX_BYTES = 2_000;
const MAX_PARTS_BYTES = 1_000_000;

Given(
  'a memory of {int} bytes for bodies, each of which may have {int} bytes besides',
  function given(this: BodyMemoryWorld, limitBytes: number, freeBytes: number) {
    this.bodyMemory = BodyMemory.create({ limitBytes, freeBytes });
    this.wholeSizes = [];
  },
);

/** Reads a body that ends when the promise resolves. */
async function read(world: BodyMemoryWorld, bytes: number, ended: Promise<void>): Promise<void> {
  async function* createBody(): AsyncGenerator<Buffer> {
    yield Buffer.alloc(bytes);
    await ended;
  }
  try {
    const { bodyMemory: memory } = world;
    world.wholeSizes.push(
      (await readAll({ body: createBody(), maxBytes: MAX_BYTES, memory })).length,
    );
  } catch {
    // A body without memory is not among the whole ones.
  }
}

When(
  '{int} bodies of {int} bytes and {int} bodies of {int} bytes are read together',
  async function when(
    this: BodyMemoryWorld,
    large: number,
    largeBytes: number,
    small: number,
    smallBytes: number,
  ) {
    let end: () => void = () => {};
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    const sizes = [
      ...Array.from({ length: large }, () => largeBytes),
      ...Array.from({ length: small }, () => smallBytes),
    ];
    const reading = sizes.map((bytes) => read(this, bytes, ended));
    end();
    await Promise.all(reading);
  },
);

Then(
  '{int} bodies of {int} bytes and {int} bodies of {int} bytes are whole',
  function then(
    this: BodyMemoryWorld,
    large: number,
    largeBytes: number,
    small: number,
    smallBytes: number,
  ) {
    const count = (size: number): number =>
      this.wholeSizes.filter((other) => other === size).length;
    assert.deepEqual([count(largeBytes), count(smallBytes)], [large, small]);
  },
);

Then(
  'a body of {int} bytes can be read afterwards',
  async function then(this: BodyMemoryWorld, bytes: number) {
    await read(this, bytes, Promise.resolve());
    assert.equal(this.wholeSizes.at(-1), bytes);
  },
);

When(
  'a body of {int} parts of {int} bytes is read before its turn',
  async function when(this: BodyMemoryWorld, parts: number, bytes: number) {
    this.parts = parts;
    this.partsRead = 0;
    const countPart = (): void => {
      this.partsRead += 1;
    };
    async function* createBody(): AsyncGenerator<Buffer> {
      for (let part = 0; part < parts; part += 1) {
        countPart();
        yield Buffer.alloc(bytes);
      }
    }
    const turn = new Promise<void>((resolve) => {
      this.giveTurn = resolve;
    });
    this.whole = readParts({
      body: createBody(),
      maxBytes: MAX_PARTS_BYTES,
      mayExceed: () => turn,
    });
    await setImmediate();
  },
);

Then('{int} of its parts have been read', function then(this: BodyMemoryWorld, parts: number) {
  assert.equal(this.partsRead, parts);
});

Then('it is whole once its turn has come', async function then(this: BodyMemoryWorld) {
  this.giveTurn();
  assert.equal((await this.whole).length, this.parts);
});

Then('it is whole without its turn', async function then(this: BodyMemoryWorld) {
  assert.equal((await this.whole).length, this.parts);
});
