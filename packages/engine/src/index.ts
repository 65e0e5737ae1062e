/** Talks to model engines, and decides how much load one can take. */
export { ColdStart, type ColdStartOptions } from './coldStart.js';
export { createFixedLimit } from './createFixedLimit.js';
export { runGeneration, type RunGenerationOptions } from './runGeneration.js';
export type { RunEnded, RunEndKind, RunTicket, TargetLimit } from './targetLimit.js';
