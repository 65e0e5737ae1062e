/** What is common to every kind of target: the list, health, limits over all nodes, and the choice. */
export { chooseTarget, type ChooseTargetOptions, type TargetChoice } from './chooseTarget.js';
export { ColdRateLimiter, type ColdRateLimiterOptions } from './coldRateLimiter.js';
export { RetryBudget, type RetryBudgetOptions } from './retryBudget.js';
export { SlidingWindowCounter, type SlidingWindowCounterOptions } from './slidingWindowCounter.js';
export {
  type TargetEntry,
  type TargetChange,
  TargetDirectory,
  type TargetDirectoryOptions,
} from './targetDirectory.js';
export {
  type ExchangeResult,
  type HealthEvent,
  TargetHealth,
  type TargetHealthOptions,
} from './targetHealth.js';
