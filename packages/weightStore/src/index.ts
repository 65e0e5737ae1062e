/** Talks to the weight store within its rate. */
export { TokenBucket, type TokenBucketOptions } from './tokenBucket.js';
export type { WeightManifest } from './weightManifest.js';
export {
  type FetchManifestOptions,
  WeightStoreClient,
  type WeightStoreClientOptions,
} from './weightStoreClient.js';
