import assert from 'node:assert/strict';

import { type DataTable, Given, Then, When } from '@cucumber/cucumber';
import type { Priority } from '@galenatiller/types';

import { deadlineQueuePolicy } from '../src/deadlineQueuePolicy.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import type { RequestQueue, QueuedRequest } from '../src/queuePolicy.js';
import { FairPriorityQueue } from '../src/fairPriorityQueue.js';
import { drainQueue } from './drainQueue.js';

interface QueueWorld {
  queues: Record<'deadline' | 'naive', RequestQueue<QueuedRequest>>;
}

const getWeight = (): number => 1;

Given(
  '{int} requests of {int} ms from {string} in the queue',
  function given(this: QueueWorld, count: number, runMs: number, organisation: string) {
    this.queues = {
      deadline: deadlineQueuePolicy.createQueue({ getWeight }),
      naive: naiveQueuePolicy.createQueue({ getWeight }),
    };
    pushTo(Object.values(this.queues), { organisation, runMs, count });
  },
);

When(
  '{string} sends {int} requests of {int} ms',
  function when(this: QueueWorld, organisation: string, count: number, runMs: number) {
    pushTo(Object.values(this.queues), { organisation, runMs, count });
  },
);

Then(
  /^in the (fair|naive) queue the last request of "(.*)" waits for (\d+) ms of work from others$/,
  function then(this: QueueWorld, which: string, organisation: string, waitMs: string) {
    const ran = drainQueue(which === 'fair' ? this.queues.deadline : this.queues.naive);
    const last = ran.map((request) => request.organisation).lastIndexOf(organisation);
    const others = ran.slice(0, last).filter((request) => request.organisation !== organisation);
    assert.equal(sumCost(others), Number(waitMs));
  },
);

Given(
  '{string} has run {int} requests of {int} ms alone in the fair queue',
  function given(this: QueueWorld, organisation: string, count: number, runMs: number) {
    const queue = FairPriorityQueue.create<QueuedRequest>({ getWeight });
    this.queues = { deadline: queue, naive: queue };
    pushTo([queue], { organisation, runMs, count });
    assert.equal(drainQueue(queue).length, count);
  },
);

When(
  '{string} and {string} both send {int} requests of {int} ms',
  function when(this: QueueWorld, first: string, second: string, count: number, runMs: number) {
    pushTo([this.queues.deadline], { organisation: first, runMs, count });
    pushTo([this.queues.deadline], { organisation: second, runMs, count });
  },
);

Then(
  'the fair queue runs at most {int} requests of {string} in the next {int}',
  function then(this: QueueWorld, maxCount: number, organisation: string, count: number) {
    const next = drainQueue(this.queues.deadline).slice(0, count);
    const own = next.filter((request) => request.organisation === organisation);
    assert.ok(own.length <= maxCount, `${own.length}`);
  },
);

Given('a fair queue with these requests', function given(this: QueueWorld, table: DataTable) {
  const rows = table.hashes();
  const weights = new Map(rows.map((row) => [row.organisation, Number(row.weight)]));
  const queue = FairPriorityQueue.create<QueuedRequest>({
    getWeight: (name) => weights.get(name) ?? 1,
  });
  this.queues = { deadline: queue, naive: queue };
  rows.forEach((row) => {
    queue.push({
      organisation: row.organisation ?? '',
      priority: row.priority as Priority,
      deadlineAtMs: Number(row.deadline),
      expectedRunMs: Number(row.cost),
      safetyMarginMs: Number(row.margin ?? 0),
    });
  });
});

Then(
  'shedding to {int} requests drops that of {string} with the deadline {int}',
  function then(this: QueueWorld, limit: number, organisation: string, deadlineAtMs: number) {
    const shed = this.queues.deadline.shed({ maxSize: limit });
    assert.deepEqual(
      shed.map((request) => [request.organisation, request.deadlineAtMs]),
      [[organisation, deadlineAtMs]],
    );
  },
);

Then(
  'at {int} ms the request with the deadline {int} expires',
  function then(this: QueueWorld, nowMs: number, deadlineAtMs: number) {
    const before = this.queues.deadline.expire({ nowMs: nowMs - 1 });
    const expired = this.queues.deadline.expire({ nowMs });
    assert.deepEqual(
      [before.length, ...expired.map((request) => request.deadlineAtMs)],
      [0, deadlineAtMs],
    );
  },
);

function pushTo(
  queues: readonly RequestQueue<QueuedRequest>[],
  opts: { readonly organisation: string; readonly runMs: number; readonly count: number },
): void {
  Array.from({ length: opts.count }).forEach((_, index) => {
    queues.forEach((queue) => {
      queue.push({
        organisation: opts.organisation,
        priority: 'interactive',
        deadlineAtMs: index,
        expectedRunMs: opts.runMs,
        safetyMarginMs: 0,
      });
    });
  });
}

function sumCost(requests: readonly QueuedRequest[]): number {
  return requests.reduce((sum, request) => sum + request.expectedRunMs, 0);
}
