import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { BatchLimits, RouteConfig } from '@galenatiller/types';

import { computeStageDeadlines, computeZoneWaitLimits } from '../src/computeStageDeadlines.js';
import { BASE_ROUTE, CALL } from './support.js';

interface DeadlineWorld {
  chain: RouteConfig;
  limits: BatchLimits;
  deadlines: readonly number[];
  zoneWaitLimits: readonly number[];
}

Given(
  'a chain of three stages whose batch calls take {int} ms and {int} ms a piece',
  function given(this: DeadlineWorld, callOverheadMs: number, pieceMs: number) {
    const service = 'stage';
    const resultBytes = 1;
    this.chain = {
      ...BASE_ROUTE,
      stages: [
        { service, dependsOn: [], resultBytes },
        { service, dependsOn: [0], resultBytes },
        { service, dependsOn: [1], resultBytes },
      ],
    };
    this.limits = {
      maxPieces: 5,
      callOverheadMs,
      pieceMs,
      resultMemoryBytes: 10,
      resultTtlMs: 1_000,
    };
  },
);

When(
  'a call with {int}, {int} and {int} pieces has to start its response by {int} ms, and targets take {int} ms to start one',
  function when(
    this: DeadlineWorld,
    first: number,
    second: number,
    third: number,
    respondByMs: number,
    responseMs: number,
  ) {
    const opts = {
      route: this.chain,
      call: { ...CALL, stagePieces: [first, second, third] },
      respondByMs,
      responseMs,
      findLimits: () => this.limits,
    };
    this.deadlines = computeStageDeadlines(opts);
    this.zoneWaitLimits = computeZoneWaitLimits(opts);
  },
);

Then(
  'its stages have to be done by {int}, {int} and {int} ms',
  function then(this: DeadlineWorld, first: number, second: number, third: number) {
    assert.deepEqual(this.deadlines, [first, second, third]);
  },
);

Then(
  'its stages may wait for their zone until {int}, {int} and {int} ms',
  function then(this: DeadlineWorld, first: number, second: number, third: number) {
    assert.deepEqual(this.zoneWaitLimits, [first, second, third]);
  },
);
