import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import type { Priority } from '@galenatiller/types';
import fc from 'fast-check';

import { deadlineQueuePolicy } from '../src/deadlineQueuePolicy.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import type { QueuedRequest, QueuePolicy } from '../src/queuePolicy.js';
import { MIN_BATCH_SHARE, FairPriorityQueue } from '../src/fairPriorityQueue.js';
import { drainQueue } from './drainQueue.js';

interface QueuePropertyWorld {
  policy: QueuePolicy;
}

const ROUNDING = 1e-6;
const PROPERTY = { seed: 20261204, numRuns: 300 };
const WEIGHTS = new Map([
  ['a', 1],
  ['b', 2],
  ['c', 5],
]);
const getWeight = (organisation: string): number => WEIGHTS.get(organisation) ?? 1;
const anyRequest: fc.Arbitrary<QueuedRequest> = fc.record({
  organisation: fc.constantFrom('a', 'b', 'c'),
  priority: fc.constant<Priority>('interactive'),
  deadlineAtMs: fc.nat(1_000),
  expectedRunMs: fc.integer({ min: 1, max: 100 }),
  safetyMarginMs: fc.nat(100),
});
const anyRequestOfBoth = fc
  .tuple(anyRequest, fc.constantFrom<Priority>('interactive', 'batch'))
  .map(([request, priority]) => ({ ...request, priority }));

Given('any arrivals at the fair queue from weighted organisations', () => {});

Then('the weighted work of any two that both wait differs by at most one request of each', () => {
  const anyStep = fc.oneof({ weight: 2, arbitrary: anyRequest }, fc.constant('take' as const));
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 200, size: 'max' }), (steps) => {
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight });
      const waiting = new Map<string, number>();
      const gaps = new Map<string, GapRange>();
      steps.forEach((step) => {
        if (step !== 'take') {
          queue.push(step);
          waiting.set(step.organisation, (waiting.get(step.organisation) ?? 0) + 1);
          return;
        }
        const before = new Map(waiting);
        queue.take().match({
          Just: (request) => {
            waiting.set(request.organisation, (before.get(request.organisation) ?? 0) - 1);
            checkGaps(gaps, before, request);
          },
          Nothing: () => assert.ok([...waiting.values()].every((count) => count === 0)),
        });
      });
    }),
    PROPERTY,
  );
});

Given('any costs of 200 interactive and 20 batch requests in the fair queue', () => {});

Then('batch has its minimum share of the work, less at most one request of each class', () => {
  forEachMix(({ batchMs, interactiveMs, maxBatchMs, maxInteractiveMs }) => {
    const shareMs = (batchMs + interactiveMs) * MIN_BATCH_SHARE;
    const lagMs = maxBatchMs * (1 - MIN_BATCH_SHARE) + maxInteractiveMs * MIN_BATCH_SHARE;
    assert.ok(batchMs >= shareMs - lagMs - ROUNDING);
  });
});

Then('batch has no more than its minimum share while interactive requests wait', () => {
  forEachMix(({ batchMs, interactiveMs }) => {
    assert.ok(batchMs <= (batchMs + interactiveMs) * MIN_BATCH_SHARE + ROUNDING);
  });
});

Given('any deadlines of the requests of one organisation in the fair queue', () => {});

Then('the fair queue runs them by deadline, and by arrival where deadlines are equal', () => {
  fc.assert(
    fc.property(fc.array(anyRequest), (requests) => {
      const own = requests.map((request) => ({ ...request, organisation: 'a' }));
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight });
      own.forEach((request) => {
        queue.push(request);
      });
      const byDeadline = [...own].sort((left, right) => left.deadlineAtMs - right.deadlineAtMs);
      assert.deepEqual(drainQueue(queue), byDeadline);
    }),
    PROPERTY,
  );
});

Given(
  'any pushes, takes, removals, expiries and overflows at the {string} queue',
  function given(this: QueuePropertyWorld, policy: string) {
    this.policy = policy === 'naive' ? naiveQueuePolicy : deadlineQueuePolicy;
  },
);

Then(
  'each request leaves the queue once and the size is always right',
  function then(this: QueuePropertyWorld) {
    const anyStep = fc.oneof(
      {
        weight: 4,
        arbitrary: anyRequestOfBoth.map((request) => ({ kind: 'push' as const, request })),
      },
      fc.constant({ kind: 'take' as const }),
      fc.nat(20).map((index) => ({ kind: 'remove' as const, index })),
      fc.nat(1_000).map((nowMs) => ({ kind: 'expire' as const, nowMs })),
      fc.nat(10).map((maxSize) => ({ kind: 'shed' as const, maxSize })),
    );
    fc.assert(
      fc.property(fc.array(anyStep, { maxLength: 80, size: 'max' }), (steps) => {
        const queue = this.policy.createQueue<QueuedRequest>({ getWeight });
        const pushed: QueuedRequest[] = [];
        const waiting = new Set<QueuedRequest>();
        const leave = (request: QueuedRequest): void => assert.ok(waiting.delete(request));
        steps.forEach((step) => {
          if (step.kind === 'push') {
            queue.push(step.request);
            pushed.push(step.request);
            waiting.add(step.request);
          } else if (step.kind === 'take') {
            const taken = queue.take();
            if (taken.isJust) {
              leave(taken.value);
            }
          } else if (step.kind === 'remove') {
            const request = pushed[step.index];
            assert.equal(
              request !== undefined && queue.remove(request),
              waiting.delete(request as never),
            );
          } else if (step.kind === 'expire') {
            queue.expire(step).forEach(leave);
          } else {
            queue.shed(step).forEach(leave);
            assert.ok(queue.size <= step.maxSize);
          }
          assert.equal(queue.size, waiting.size);
        });
        drainQueue(queue).forEach(leave);
        assert.equal(waiting.size, 0);
      }),
      PROPERTY,
    );
  },
);

Then('the requests ahead of a new one are those taken before it', () => {
  fc.assert(
    fc.property(
      fc.array(anyRequestOfBoth, { size: 'large' }),
      fc.nat(20),
      anyRequestOfBoth,
      (requests, takes, last) => {
        const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight });
        requests.forEach((request) => {
          queue.push(request);
        });
        Array.from({ length: takes }).forEach(() => queue.take());
        const ahead = queue.listRequestsAhead(last);
        queue.push(last);
        const ran = drainQueue(queue);
        assert.deepEqual(ahead, ran.slice(0, ran.indexOf(last)));
      },
    ),
    PROPERTY,
  );
});

/** Difference in weighted work of two organisations since both began to wait, and its extremes. */
interface GapRange {
  gap: number;
  lowest: number;
  highest: number;
}

/** Checks that the gap varies by at most one request of each, by weight, while both wait. */
function checkGaps(
  gaps: Map<string, GapRange>,
  waiting: ReadonlyMap<string, number>,
  taken: QueuedRequest,
): void {
  const names = [...WEIGHTS.keys()];
  const isWaiting = (name: string): boolean => (waiting.get(name) ?? 0) > 0;
  names.forEach((left) => {
    names
      .filter((right) => left < right)
      .forEach((right) => {
        const key = `${left}${right}`;
        if (!isWaiting(left) || !isWaiting(right)) {
          gaps.delete(key);
          return;
        }
        const range = gaps.get(key) ?? { gap: 0, lowest: 0, highest: 0 };
        const work = taken.expectedRunMs / getWeight(taken.organisation);
        range.gap +=
          (taken.organisation === left ? work : 0) - (taken.organisation === right ? work : 0);
        range.lowest = Math.min(range.lowest, range.gap);
        range.highest = Math.max(range.highest, range.gap);
        gaps.set(key, range);
        const bound = 100 / getWeight(left) + 100 / getWeight(right);
        assert.ok(range.highest - range.lowest <= bound + ROUNDING);
      });
  });
}

interface MixedWork {
  readonly batchMs: number;
  readonly interactiveMs: number;
  /** Cost of the most expensive request of the class. */
  readonly maxBatchMs: number;
  readonly maxInteractiveMs: number;
}

function forEachMix(check: (work: MixedWork) => void): void {
  const anyCosts = (length: number): fc.Arbitrary<number[]> =>
    fc.array(fc.integer({ min: 1, max: 500 }), { minLength: length, maxLength: length });
  fc.assert(
    fc.property(anyCosts(200), anyCosts(20), (interactive, batch) => {
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight });
      const push = (priority: Priority, expectedRunMs: number): void => {
        queue.push({
          organisation: 'a',
          priority,
          deadlineAtMs: 0,
          expectedRunMs,
          safetyMarginMs: 0,
        });
      };
      interactive.forEach((costMs) => {
        push('interactive', costMs);
      });
      batch.forEach((costMs) => {
        push('batch', costMs);
      });
      const workMs = { interactive: 0, batch: 0 };
      const left = { interactive: 200, batch: 20 };
      while (left.interactive > 0 && left.batch > 0) {
        const request = queue.take().unwrapOr(undefined);
        assert.ok(request);
        workMs[request.priority] += request.expectedRunMs;
        left[request.priority] -= 1;
        check({
          batchMs: workMs.batch,
          interactiveMs: workMs.interactive,
          maxBatchMs: Math.max(...batch),
          maxInteractiveMs: Math.max(...interactive),
        });
      }
    }),
    PROPERTY,
  );
}
