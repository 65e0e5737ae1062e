/** A fake of the platform's store, with fixtures for tests. */
export { createFakeStoreServer } from './createFakeStoreServer.js';
export type { FakeStoreCopy } from './fakeStoreState.js';
export { FakeStore, type FakeStoreFaults, type FakeStoreOptions } from './fakeStore.js';
export {
  advanceUntil,
  createFixtureClient,
  createStoreFixture,
  type StoreFixture,
} from './storeFixture.js';
