/** The stand-in of the platform's store. */
export { createFakeStoreServer } from './createFakeStoreServer.js';
export { FakeStore, type FakeStoreFaults, type FakeStoreOptions } from './fakeStore.js';
export {
  advanceUntil,
  createBenchClient,
  createStoreBench,
  type StoreBench,
} from './storeBench.js';
