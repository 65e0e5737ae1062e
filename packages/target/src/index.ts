/** What is common to every kind of target: the list, health, limits over all nodes, and the choice. */
export { chooseTarget, type ChooseTargetOptions, type TargetChoice } from './chooseTarget.js';
export { ColdShare, type ColdShareOptions } from './coldShare.js';
export { RepeatBudget, type RepeatBudgetOptions } from './repeatBudget.js';
export { SlidingCount, type SlidingCountOptions } from './slidingCount.js';
export {
  type ListedEntry,
  type TargetBelief,
  TargetDirectory,
  type TargetDirectoryOptions,
} from './targetDirectory.js';
export {
  type ExchangeVerdict,
  type HealthEvent,
  TargetHealth,
  type TargetHealthOptions,
} from './targetHealth.js';
