/** Steps on the frames for usage reports and numbers of workers. */
import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { LoadUpdate, UsageUpdate } from '@galenatiller/types';

import { type LinkWorld, waitUntil } from './linkWorld.js';

const USAGE: UsageUpdate = {
  router: 'router-2',
  start: '17-0.5',
  windows: [
    {
      window: 353_445_120,
      counts: [
        ['shop', 3],
        ['__proto__', 1],
      ],
    },
    { window: 353_445_121, counts: [] },
  ],
  closedThrough: 353_445_120,
};

const LOAD: LoadUpdate = {
  router: 'router-2',
  zones: [{ service: 'shop', zone: 'zone-a', inFlight: 4 }],
  waiting: [['shop', 2]],
};

When('the peer sends counts of requests and the load of a service', function when(this: LinkWorld) {
  assert.ok(this.peer.sendUsage(USAGE));
  this.peer.sendLoad(LOAD);
});

Then('the owner gets the counts and the load', async function then(this: LinkWorld) {
  await waitUntil(() => this.loadAtOwner !== undefined, 'the load never arrived');
  assert.deepEqual(this.usageAtOwner, USAGE);
  assert.deepEqual(this.loadAtOwner, LOAD);
});
