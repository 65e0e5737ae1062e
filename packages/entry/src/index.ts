/** The entry role: walks the stages of a call under one deadline. */
export { chooseTarget } from './chooseTarget.js';
export { decideRetry } from './decideRetry.js';
export { naivePolicy } from './naivePolicy.js';
export type * from './policy.js';
export { type RunningEntry, startEntry, type StartEntryOptions } from './startEntry.js';
