/** The store's description of one set of weights. */
export interface WeightManifest {
  readonly name: string;
  readonly version: string;
  readonly sizeBytes: number;
  /** Digest of the weights. */
  readonly digest: string;
}
