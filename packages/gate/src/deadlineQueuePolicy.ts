import { decideByDeadline } from './decideByDeadline.js';
import type { QueuePolicy } from './queuePolicy.js';
import { FairPriorityQueue } from './fairPriorityQueue.js';

/** Fair queueing, earliest deadline first, early refusal of requests that cannot finish in time. */
export const deadlineQueuePolicy: QueuePolicy = {
  createQueue: (opts) => FairPriorityQueue.create(opts),
  decideAdmission: decideByDeadline,
};
