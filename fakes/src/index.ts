/** Stand-ins of the systems that galenatiller serves, with faults on order. */
export { createFakeEngine, type FakeEngine, type FakeEngineOptions } from './createFakeEngine.js';
export { Batch } from './engine/batch.js';
export type { ColdBehaviour, ColdOverload } from './coldPhase.js';
export type { FakeEngineLoad } from './engine/engineModel.js';
export type { FakeEngineOrder } from './engine/orderDesk.js';
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
export {
  createFakeWeightStore,
  type FakeWeightStore,
  type FakeWeightStoreOptions,
} from './createFakeWeightStore.js';
export { expectedAnswer, expectedWord } from './expectedAnswer.js';
export { expectedPassages, expectedScore, expectedVector } from './expectedPoolResults.js';
export type { FaultOrder, VersionQuality } from './faultBoard.js';
export type { RunEnd, RunRecord } from './runLedger.js';
export { sampleOrder } from './sampleOrder.js';
export * from './store/index.js';
export { FakePlatformStore, type StoreMode } from './platform/fakePlatformStore.js';
export {
  FakePlatformWorker,
  WORKER_BODY,
  WORKER_EVENT,
  type WorkerAnswerEnd,
  type WorkerRun,
} from './platform/fakePlatformWorker.js';
