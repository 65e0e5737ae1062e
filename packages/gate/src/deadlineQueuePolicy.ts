import { decideByDeadline } from './decideByDeadline.js';
import type { QueuePolicy } from './queuePolicy.js';
import { FairPriorityQueue } from './fairPriorityQueue.js';

/** Fair shares, earliest deadline first, and early refusal of what can't be in time. */
export const deadlineQueuePolicy: QueuePolicy = {
  createQueue: (opts) => FairPriorityQueue.create(opts),
  decideAdmission: decideByDeadline,
};
