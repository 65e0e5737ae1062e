/** The entry role: runs the stages of a call under one deadline. */
export { chooseLinks, type ChooseLinksOptions, type LinkCandidate } from './chooseLinks.js';
export { chooseTarget } from './chooseTarget.js';
export { createEntry, type CreateEntryOptions, type Entry } from './createEntry.js';
export { decideRetry } from './decideRetry.js';
export { naivePolicy } from './naivePolicy.js';
export type * from './policy.js';
export { standardPolicy } from './standardPolicy.js';
export { RetryBudget } from './retryBudget.js';
export { type ListeningEntry, runEntry, type RunEntryOptions } from './runEntry.js';
export { shutDownEntry, type ShutDownEntryOptions } from './shutDownEntry.js';
export {
  type MoveProgress,
  type MoveRun,
  VersionMoves,
  type VersionMovesOptions,
} from './versionMoves.js';
export { type TrialRun, type TrialVerdict, VersionTrial } from './versionTrial.js';
export type { EndedCall } from './runCall.js';
