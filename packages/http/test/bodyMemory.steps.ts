import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { BodyMemory, readAll } from '@galenatiller/http';

interface BodyMemoryWorld {
  bodyMemory: BodyMemory;
  wholeSizes: number[];
}

const MAX_BYTES = 2_000;

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
