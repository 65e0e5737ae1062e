/** Decides which work goes first, and which is delayed or shed, when capacity is short. */
export { compareDelayed, compareOnTime, compareYielding } from './compareWork.js';
export { computeRetryAfterMs, type RetryAfterOptions } from './computeRetryAfterMs.js';
export { FairQueue, type FairQueueOptions } from './fairQueue.js';
export { isSizeExempt } from './isSizeExempt.js';
export { OrganisationUsage } from './organisationUsage.js';
export { orderWork, type OrderedWork, type OrderWorkOptions } from './orderWork.js';
export type { SchedulableWork } from './schedulableWork.js';
export { YieldOrder, type YieldOrderOptions } from './yieldOrder.js';
