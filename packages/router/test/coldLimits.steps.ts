/** Steps on calls that become ready in the same turn of the event loop. */
import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { CONFIGURATION, createContext, type RouterWorld, startCall } from './support.js';

/** Time in which all calls that can be sent are sent, well below a second. */
const SEND_TIME_MS = 400;

Given(
  'a target that handles {int} requests a second while it is cold',
  function given(this: RouterWorld, maxColdRequestsPerSecond: number) {
    const service = { name: 'service', maxColdRequestsPerSecond, batch: undefined };
    this.routes.update({
      ...CONFIGURATION,
      version: CONFIGURATION.version + 1,
      services: [...CONFIGURATION.services, service],
    });
    this.targetIds = ['a'];
    this.context = createContext(this);
  },
);

Given(
  'another target, and permits that are refused after {int} ms',
  function given(this: RouterWorld, delayMs: number) {
    this.targetIds = ['a', 'b'];
    const obtainPermit = async (): Promise<boolean> => {
      await this.routerTimer.sleep({ delayMs });
      return false;
    };
    this.context = { ...createContext(this), obtainPermit };
  },
);

When(
  '{int} {string} calls come at the same time',
  async function when(this: RouterWorld, calls: number, name: string) {
    for (let call = 0; call < calls; call += 1) {
      startCall(this, {
        path: `/${name}/x`,
        stagePieces: [1, 1],
        promptParts: [{ id: 'shared', tokens: 1_000 }],
      });
    }
    await this.routerClock.advance({ byMs: SEND_TIME_MS });
  },
);

Then('the target got {int} sends within a second', function then(this: RouterWorld, sends: number) {
  assert.equal(this.sends.length, sends);
});

Then(
  'each target got at most {int} sends within a second',
  function then(this: RouterWorld, max: number) {
    ['a', 'b'].forEach((id) => {
      const { length } = this.sends.filter(({ target }) => target.id === id);
      assert.ok(length > 0 && length <= max, `${length} sends to ${id}`);
    });
  },
);
