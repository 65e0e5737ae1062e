import { FifoQueue } from './fifoQueue.js';
import type { QueuePolicy } from './queuePolicy.js';

/** The plain policy that measurements compare with: first in, first out, and no early refusal. */
export const naiveQueuePolicy: QueuePolicy = {
  createQueue: () => FifoQueue.create(),
  decideAdmission: () => ({ kind: 'admit', waitMs: 0 }),
};
