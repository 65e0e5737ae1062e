import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';

import { type MeasuredOperation, runOperations } from '../src/scale/measureScale.js';
import { SERVICES } from '../src/scale/scaledRouter.js';

interface ScaleWorld {
  small: readonly MeasuredOperation[];
  large: readonly MeasuredOperation[];
}

const TIMEOUT_MS = 60_000;
const SIXTH = 6;

function find(rows: readonly MeasuredOperation[], operation: string): MeasuredOperation {
  return rows.find((row) => row.operation === operation) ?? assert.fail(operation);
}

Given(
  'the counted work of a router with {int} targets and {int} routers, and with {int} targets and {int} routers',
  { timeout: TIMEOUT_MS },
  async function given(
    this: ScaleWorld,
    targets: number,
    routers: number,
    moreTargets: number,
    moreRouters: number,
  ) {
    this.small = await runOperations({ targets, routers }, true);
    this.large = await runOperations({ targets: moreTargets, routers: moreRouters }, true);
  },
);

Then(
  'a {string} reads at most {int} times as many targets in the larger fleet',
  function then(this: ScaleWorld, operation: string, factor: number) {
    const [small, large] = [find(this.small, operation), find(this.large, operation)];
    assert.ok(large.work.visits <= factor * small.work.visits, `${large.work.visits} reads`);
  },
);

Then(
  'a {string} makes at most {int} reads for each target of one service there',
  function then(this: ScaleWorld, operation: string, factor: number) {
    const { work, targets } = find(this.large, operation);
    const limit = factor * (targets / SERVICES);
    assert.ok(work.visits <= limit, `${work.visits} reads of at most ${limit}`);
  },
);

Then(
  'a {string} hashes at most {int} times as many names as there are routers',
  function then(this: ScaleWorld, operation: string, factor: number) {
    const { work, routers } = find(this.large, operation);
    assert.ok(work.hashes <= factor * routers, `${work.hashes} hashes`);
  },
);

Then(
  'a {string} reads at most a sixth of the targets that a single one does',
  function then(this: ScaleWorld, operation: string) {
    const single = find(this.large, operation.replace(' of many', ''));
    const { visits } = find(this.large, operation).work;
    assert.ok(visits * SIXTH <= single.work.visits, `${visits} reads`);
  },
);
