import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';

import type { RouterWorld } from './support.js';

interface CostWorld extends RouterWorld {
  considered: number;
}

Given('considered targets are counted', function given(this: CostWorld) {
  const { coldRateLimiter } = this.context;
  const canSend = coldRateLimiter.canSend.bind(coldRateLimiter);
  this.considered = 0;
  // Each choice asks the rate limits about each target.
  coldRateLimiter.canSend = (opts) => {
    this.considered += 1;
    return canSend(opts);
  };
});

Then('{int} targets were considered', function then(this: CostWorld, targets: number) {
  assert.equal(this.considered, targets);
});
