import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { SmoothedDurations } from '@galenatiller/timer';

import { createContext, type RouterWorld } from './support.js';

Given(
  'new pieces wait for {int} ms at the stage workers',
  function given(this: RouterWorld, waitMs: number) {
    this.stageWaits = [{ priority: 0, waitMs, oldestMs: waitMs }];
    const { routes } = this;
    const configuration = routes.currentConfiguration() ?? assert.fail('no configuration');
    const batch = {
      maxPieces: 8,
      callOverheadMs: 100,
      pieceMs: 10,
      resultMemoryBytes: 1_000,
      resultTtlMs: 4_000,
    };
    routes.update({
      ...configuration,
      version: configuration.version + 1,
      services: [{ name: 'stage', maxColdRequestsPerSecond: 0, batch }],
    });
  },
);

When('nothing waits at the stage workers any more', async function when(this: RouterWorld) {
  this.stageWaits = [];
  await this.routerClock.advance({ byMs: 300 });
});

When('the call has no time left for its stages', async function when(this: RouterWorld) {
  await this.routerClock.advance({ byMs: 300 });
});

Given(
  'responses of targets took {int} ms, and each stage takes {int} ms',
  function given(this: RouterWorld, responseMs: number, stageMs: number) {
    this.responseTimes = SmoothedDurations.create();
    const nowMs = this.routerTimer.nowMs();
    this.responseTimes.observe({ name: 'service', durationMs: responseMs, nowMs });
    const context = createContext(this);
    this.context = {
      ...context,
      submitPiece: async (piece) => {
        await this.routerTimer.sleep({ delayMs: stageMs });
        return context.submitPiece(piece);
      },
    };
  },
);

Then('no stage of the call has begun', function then(this: RouterWorld) {
  assert.deepEqual(this.pieceInputs, []);
  assert.equal(this.sends.length, 0);
});
