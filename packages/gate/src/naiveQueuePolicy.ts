import { FifoQueue } from './fifoQueue.js';
import type { QueuePolicy } from './queuePolicy.js';

/** Baseline policy for benchmarks: first in, first out, without early refusal. */
export const naiveQueuePolicy: QueuePolicy = {
  createQueue: () => FifoQueue.create(),
  decideAdmission: () => ({ kind: 'admit', waitMs: 0 }),
};
