/** The entry role: walks the stages of a call under one deadline. */
export { chooseTarget } from './chooseTarget.js';
export { createEntry, type CreateEntryOptions, type Entry } from './createEntry.js';
export { decideRetry } from './decideRetry.js';
export { naivePolicy } from './naivePolicy.js';
export type * from './policy.js';
export { standardPolicy } from './standardPolicy.js';
export { type ListeningEntry, runEntry, type RunEntryOptions } from './runEntry.js';
