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
const weightOf = (organisation: string): number => WEIGHTS.get(organisation) ?? 1;
const anyOrder: fc.Arbitrary<QueuedRequest> = fc.record({
  organisation: fc.constantFrom('a', 'b', 'c'),
  priority: fc.constant<Priority>('interactive'),
  deadlineAtMs: fc.nat(1_000),
  expectedRunMs: fc.integer({ min: 1, max: 100 }),
  safetyMarginMs: fc.nat(100),
});
const anyOrderOfBoth = fc
  .tuple(anyOrder, fc.constantFrom<Priority>('interactive', 'batch'))
  .map(([order, priority]) => ({ ...order, priority }));

Given('any arrivals at the stage queue from organisations with weights', () => {});

Then('the work of any two that both wait differs by at most one order of each, by weight', () => {
  const anyStep = fc.oneof({ weight: 2, arbitrary: anyOrder }, fc.constant('take' as const));
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 200, size: 'max' }), (steps) => {
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight: weightOf });
      const waiting = new Map<string, number>();
      const gaps = new Map<string, GapWatch>();
      steps.forEach((step) => {
        if (step !== 'take') {
          queue.push(step);
          waiting.set(step.organisation, (waiting.get(step.organisation) ?? 0) + 1);
          return;
        }
        const before = new Map(waiting);
        queue.take().match({
          Just: (order) => {
            waiting.set(order.organisation, (before.get(order.organisation) ?? 0) - 1);
            checkGaps(gaps, before, order);
          },
          Nothing: () => assert.ok([...waiting.values()].every((count) => count === 0)),
        });
      });
    }),
    PROPERTY,
  );
});

Given('any costs of 200 interactive and 20 batch orders in the stage queue', () => {});

Then('batch has its least share of the work, less one order of each class', () => {
  forEachMix(({ batchMs, interactiveMs, mostBatchMs, mostInteractiveMs }) => {
    const shareMs = (batchMs + interactiveMs) * MIN_BATCH_SHARE;
    const lagMs = mostBatchMs * (1 - MIN_BATCH_SHARE) + mostInteractiveMs * MIN_BATCH_SHARE;
    assert.ok(batchMs >= shareMs - lagMs - ROUNDING);
  });
});

Then('batch has no more than its least share while interactive orders wait', () => {
  forEachMix(({ batchMs, interactiveMs }) => {
    assert.ok(batchMs <= (batchMs + interactiveMs) * MIN_BATCH_SHARE + ROUNDING);
  });
});

Given('any deadlines of the orders of one organisation in the stage queue', () => {});

Then('the stage queue runs them by deadline, and by arrival where deadlines are equal', () => {
  fc.assert(
    fc.property(fc.array(anyOrder), (orders) => {
      const own = orders.map((order) => ({ ...order, organisation: 'a' }));
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight: weightOf });
      own.forEach((order) => {
        queue.push(order);
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
  'each order leaves the queue once and its size is always right',
  function then(this: QueuePropertyWorld) {
    const anyStep = fc.oneof(
      { weight: 4, arbitrary: anyOrderOfBoth.map((order) => ({ kind: 'push' as const, order })) },
      fc.constant({ kind: 'take' as const }),
      fc.nat(20).map((index) => ({ kind: 'remove' as const, index })),
      fc.nat(1_000).map((nowMs) => ({ kind: 'expire' as const, nowMs })),
      fc.nat(10).map((maxSize) => ({ kind: 'shed' as const, maxSize })),
    );
    fc.assert(
      fc.property(fc.array(anyStep, { maxLength: 80, size: 'max' }), (steps) => {
        const queue = this.policy.createQueue<QueuedRequest>({ getWeight: weightOf });
        const pushed: QueuedRequest[] = [];
        const waiting = new Set<QueuedRequest>();
        const leave = (order: QueuedRequest): void => assert.ok(waiting.delete(order));
        steps.forEach((step) => {
          if (step.kind === 'push') {
            queue.push(step.order);
            pushed.push(step.order);
            waiting.add(step.order);
          } else if (step.kind === 'take') {
            const taken = queue.take();
            if (taken.isJust) {
              leave(taken.value);
            }
          } else if (step.kind === 'remove') {
            const order = pushed[step.index];
            assert.equal(
              order !== undefined && queue.remove(order),
              waiting.delete(order as never),
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

Then('the orders ahead of a new one are those that are taken before it', () => {
  fc.assert(
    fc.property(
      fc.array(anyOrderOfBoth, { size: 'large' }),
      fc.nat(20),
      anyOrderOfBoth,
      (orders, takes, last) => {
        const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight: weightOf });
        orders.forEach((order) => {
          queue.push(order);
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

/** Work of two organisations by weight since both began to wait, at its extremes. */
interface GapWatch {
  gap: number;
  lowest: number;
  highest: number;
}

/** Every interval in which both wait: the gap moves by at most one order of each, by weight. */
function checkGaps(
  gaps: Map<string, GapWatch>,
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
        const watch = gaps.get(key) ?? { gap: 0, lowest: 0, highest: 0 };
        const work = taken.expectedRunMs / weightOf(taken.organisation);
        watch.gap +=
          (taken.organisation === left ? work : 0) - (taken.organisation === right ? work : 0);
        watch.lowest = Math.min(watch.lowest, watch.gap);
        watch.highest = Math.max(watch.highest, watch.gap);
        gaps.set(key, watch);
        const bound = 100 / weightOf(left) + 100 / weightOf(right);
        assert.ok(watch.highest - watch.lowest <= bound + ROUNDING);
      });
  });
}

interface MixedWork {
  readonly batchMs: number;
  readonly interactiveMs: number;
  /** Cost of the dearest order of the class. */
  readonly mostBatchMs: number;
  readonly mostInteractiveMs: number;
}

function forEachMix(check: (work: MixedWork) => void): void {
  const anyCosts = (length: number): fc.Arbitrary<number[]> =>
    fc.array(fc.integer({ min: 1, max: 500 }), { minLength: length, maxLength: length });
  fc.assert(
    fc.property(anyCosts(200), anyCosts(20), (interactive, batch) => {
      const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight: weightOf });
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
        const order = queue.take().unwrapOr(undefined);
        assert.ok(order);
        workMs[order.priority] += order.expectedRunMs;
        left[order.priority] -= 1;
        check({
          batchMs: workMs.batch,
          interactiveMs: workMs.interactive,
          mostBatchMs: Math.max(...batch),
          mostInteractiveMs: Math.max(...interactive),
        });
      }
    }),
    PROPERTY,
  );
}
