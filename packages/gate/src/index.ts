/** The gate role: the only access path to the targets of its host. */
export { createGate, type CreateGateOptions, type Gate } from './createGate.js';
export { createMemoryRunRecords } from './createMemoryRunRecords.js';
export { createStoreRunRecords } from './createStoreRunRecords.js';
export type * from './policy.js';
export type * from './runRecordRepository.js';
export { type ListeningGate, runGate, type RunGateOptions } from './runGate.js';
export { naivePolicy, standardPolicy } from './standardPolicy.js';
export type * from './queuePolicy.js';
