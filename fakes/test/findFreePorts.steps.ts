import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';

import { findFreePorts } from '../src/index.js';

Then('each of {int} times, {int} free ports differ', async (times: number, count: number) => {
  for (let time = 0; time < times; time += 1) {
    assert.equal(new Set(await findFreePorts(count)).size, count);
  }
});
