/** The stand-in of the platform's store. */
export { createFakeStoreServer } from './createFakeStoreServer.js';
export { FakeStore, type FakeStoreFaults, type FakeStoreOptions } from './fakeStore.js';
export {
  advanceUntil,
  createFixtureClient,
  createStoreFixture,
  type StoreFixture,
} from './storeFixture.js';
