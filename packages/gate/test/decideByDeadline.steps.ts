import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';

import { decideByDeadline } from '../src/decideByDeadline.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import type { AdmissionDecision, DecideAdmissionOptions } from '../src/queuePolicy.js';
import { RunTimeEstimator } from '../src/runTimeEstimator.js';

interface EstimateWorld {
  opts: DecideAdmissionOptions;
  estimator: RunTimeEstimator;
}

const PROPERTY = { seed: 20261204, numRuns: 300 };
const NOW_MS = 7_000;

Given(
  'a target that runs {int} at once with runs that end in {string} ms',
  function given(this: EstimateWorld, inFlightLimit: number, running: string) {
    this.opts = {
      nowMs: NOW_MS,
      deadlineAtMs: 0,
      expectedRunMs: 0,
      safetyMarginMs: 0,
      inFlightRemainingMs: toNumbers(running),
      inFlightLimit,
      aheadRunMs: [],
    };
  },
);

Given(
  'requests ahead that run for {string} ms',
  function given(this: EstimateWorld, ahead: string) {
    this.opts = { ...this.opts, aheadRunMs: toNumbers(ahead) };
  },
);

When(
  'a request of {int} ms with {int} ms left asks for admission',
  function when(this: EstimateWorld, expectedRunMs: number, leftMs: number) {
    this.opts = { ...this.opts, expectedRunMs, deadlineAtMs: NOW_MS + leftMs };
  },
);

Then('the admission decision is {string}', function then(this: EstimateWorld, decision: string) {
  assert.equal(describe(decideByDeadline(this.opts)), decision);
});

Then(
  'the naive admission decision is {string}',
  function then(this: EstimateWorld, decision: string) {
    assert.equal(describe(naiveQueuePolicy.decideAdmission(this.opts)), decision);
  },
);

Given('any running and queued requests of a target', () => {});

Then(
  'a simulation of the target in virtual time starts the new request after the estimated wait',
  () => {
    const anyTimes = fc.array(fc.nat(50), { maxLength: 12 });
    fc.assert(
      fc.property(anyTimes, anyTimes, fc.integer({ min: 1, max: 6 }), (running, ahead, limit) => {
        const decision = decideByDeadline({
          nowMs: NOW_MS,
          deadlineAtMs: Infinity,
          expectedRunMs: 1,
          safetyMarginMs: 0,
          inFlightRemainingMs: running,
          inFlightLimit: limit,
          aheadRunMs: ahead,
        });
        assert.ok(decision.kind === 'admit');
        assert.equal(decision.waitMs, simulateWait(running, ahead, limit));
      }),
      PROPERTY,
    );
  },
);

Given(
  'runs of the stage {string} that take {int} ms and {int} ms for each token',
  function given(this: EstimateWorld, stage: string, baseMs: number, tokenMs: number) {
    this.estimator = RunTimeEstimator.create();
    [20, 400, 90, 250, 30, 300].forEach((tokens) => {
      this.estimator.observe({
        stage,
        tokens,
        runMs: baseMs + tokens * tokenMs,
        nowMs: NOW_MS,
        ending: 'completed',
      });
    });
  },
);

Then(
  'a run of {string} with {int} tokens is expected to take {int} ms',
  function then(this: EstimateWorld, stage: string, tokens: number, runMs: number) {
    assert.equal(
      Math.round(this.estimator.estimate({ stage, tokens, nowMs: NOW_MS }).expectedRunMs),
      runMs,
    );
  },
);

Then(
  'a run of {string} with {int} tokens is expected to take {int} ms when the last is {int} s old',
  function then(this: EstimateWorld, stage: string, tokens: number, runMs: number, ageS: number) {
    const nowMs = NOW_MS + ageS * 1_000;
    assert.equal(
      Math.round(this.estimator.estimate({ stage, tokens, nowMs }).expectedRunMs),
      runMs,
    );
  },
);

When(
  'a run of {string} is cut off after {int} ms',
  function when(this: EstimateWorld, stage: string, runMs: number) {
    this.estimator.observe({ stage, tokens: 100, runMs, nowMs: NOW_MS, ending: 'cut-off' });
  },
);

When(
  '{int} runs of {string} take {int} ms and {int} ms in turn',
  function when(this: EstimateWorld, count: number, stage: string, oddMs: number, evenMs: number) {
    Array.from({ length: count }).forEach((_, index) => {
      const runMs = index % 2 === 0 ? oddMs : evenMs;
      this.estimator.observe({ stage, tokens: 100, runMs, nowMs: NOW_MS, ending: 'completed' });
    });
  },
);

Then(
  'the safety margin of a run of {string} is {int} ms',
  function then(this: EstimateWorld, stage: string, marginMs: number) {
    assert.equal(Math.round(estimateSafetyMarginMs(this.estimator, stage)), marginMs);
  },
);

Then(
  'the safety margin of a run of {string} is between {int} and {int} ms',
  function then(this: EstimateWorld, stage: string, minMs: number, maxMs: number) {
    const marginMs = estimateSafetyMarginMs(this.estimator, stage);
    assert.ok(marginMs >= minMs && marginMs <= maxMs, `${marginMs}`);
  },
);

function estimateSafetyMarginMs(estimator: RunTimeEstimator, stage: string): number {
  return estimator.estimate({ stage, tokens: 100, nowMs: NOW_MS }).safetyMarginMs;
}

/** Simulates the target in steps of one millisecond and starts requests as slots become free. */
function simulateWait(running: readonly number[], ahead: readonly number[], limit: number): number {
  const endsAtMs = [...running];
  const waiting = [...ahead];
  for (let timeMs = 0; ; timeMs += 1) {
    const countBusy = (): number => endsAtMs.filter((endMs) => endMs > timeMs).length;
    while (countBusy() < limit) {
      const runMs = waiting.shift();
      if (runMs === undefined) {
        return timeMs;
      }
      endsAtMs.push(timeMs + runMs);
    }
  }
}

function toNumbers(text: string): number[] {
  return text.split(',').filter(Boolean).map(Number);
}

function describe(decision: AdmissionDecision): string {
  return decision.kind === 'admit'
    ? `admit after ${decision.waitMs} ms`
    : `refuse, retry after ${decision.retryAfterMs} ms`;
}
