/** Client of the weight store that keeps within the store's rate limit. */
export { TokenBucket, type TokenBucketOptions } from './tokenBucket.js';
export type { WeightManifest } from './weightManifest.js';
export {
  type FetchManifestOptions,
  WeightStoreClient,
  type WeightStoreClientOptions,
} from './weightStoreClient.js';
