/** Fakes of the systems that galenatiller talks to, with fault injection. */
export { createFakeEngine, type FakeEngine, type FakeEngineOptions } from './createFakeEngine.js';
export { Batch } from './engine/batch.js';
export type { ColdBehaviour, ColdOverloadAction } from './coldPhase.js';
export type { FakeEngineLoad } from './engine/engineSimulator.js';
export type { FakeEngineOrder } from './engine/orderHandler.js';
export { type EndlessResponseOptions, sendEndlessResponse } from './endlessResponses.js';
export {
  createFakeHostList,
  type FakeHostList,
  type FakeHostListOptions,
} from './createFakeHostList.js';
export { createFakePool, type FakePoolOptions } from './createFakePool.js';
export {
  createFakeService,
  computeExpectedReceipt,
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
export { computeExpectedCompletion, computeExpectedWord } from './expectedCompletion.js';
export {
  computeExpectedPassages,
  computeExpectedScore,
  computeExpectedVector,
} from './expectedPoolResults.js';
export { findFreePorts } from './findFreePorts.js';
export type { FaultCommand, VersionFault } from './faultInjector.js';
export type { RunEnd, RunRecord } from './runLedger.js';
export { type HostileForm, HostileCallers, type HostileCallersOptions } from './hostileCallers.js';
export { createSampleStageRequest } from './createSampleStageRequest.js';
export * from './store/index.js';
export { FakePlatformStore, type PlatformStoreMode } from './platform/fakePlatformStore.js';
export { FakeLoadWorker, type FakeLoadWorkerOptions } from './platform/fakeLoadWorker.js';
export { FakeProvider, type ProviderCall, type ProviderMode } from './platform/fakeProvider.js';
export {
  FakePlatformWorker,
  WORKER_BODY,
  WORKER_EVENT,
  type WorkerResponseEnd,
  type WorkerRun,
} from './platform/fakePlatformWorker.js';
