/** Steps on the requests that are counted for the usage reports. */
import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { createChunks, createEvents, respond, type RouterWorld, startCall } from './support.js';

Given(
  'the targets send the first event of a stream {int} ms after its head',
  function given(this: RouterWorld, delayMs: number) {
    const timer = this.routerTimer;
    const createBody = async function* createBody(): AsyncGenerator<Buffer> {
      await timer.sleep({ delayMs });
      yield* createChunks(createEvents(1, 3));
    };
    this.fallback = () => respond({ body: createBody() });
  },
);

When('a {string} call is started', function when(this: RouterWorld, name: string) {
  startCall(this, { path: `/${name}/x` });
});

When(
  'the clock of the router goes on by {int} ms',
  async function when(this: RouterWorld, byMs: number) {
    await this.routerClock.advance({ byMs });
  },
);

Then(
  /^(\d) requests? of "shop" (?:is|are) counted$/,
  function then(this: RouterWorld, requests: string) {
    assert.deepEqual(
      this.counted,
      Array.from({ length: Number(requests) }, () => 'shop'),
    );
  },
);
