import { decideByDeadline } from './deadlineEstimate.js';
import type { QueuePolicy } from './queuePolicy.js';
import { StageQueue } from './stageQueue.js';

/** Fair shares, earliest deadline first, and early refusal of what can't be in time. */
export const deadlineQueuePolicy: QueuePolicy = {
  createQueue: (opts) => StageQueue.create(opts),
  decideAdmission: decideByDeadline,
};
