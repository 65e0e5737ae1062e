/** Stand-ins of the systems that galenatiller serves, with faults on order. */
export { createFakeEngine, type FakeEngineOptions } from './createFakeEngine.js';
export {
  createFakeHostList,
  type FakeHostList,
  type FakeHostListOptions,
} from './createFakeHostList.js';
export { createFakePool, type FakePoolOptions } from './createFakePool.js';
export {
  createFakeService,
  expectedReceipt,
  type FakeService,
  type FakeServiceOptions,
  type ServiceEffect,
} from './createFakeService.js';
export { createFakeStatsd, type FakeStatsd, type FakeStatsdOptions } from './createFakeStatsd.js';
export type { FakeTarget, FakeTargetOptions } from './createFakeTarget.js';
export { expectedAnswer, expectedWord } from './expectedAnswer.js';
export { expectedPassages, expectedScore, expectedVector } from './expectedPoolResults.js';
export type { FaultOrder } from './faultBoard.js';
export type { RunEnd, RunRecord } from './runLedger.js';
export { sampleOrder } from './sampleOrder.js';
