/** The gate role: the only way to the targets of its host. */
export type * from './policy.js';
export type * from './runRecordKeeper.js';
export { type RunningGate, startGate, type StartGateOptions } from './startGate.js';
