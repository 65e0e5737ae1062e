/** The kind of peer behind a target. */
export type TargetKind = 'engine' | 'pool' | 'service';

/** Whether a target takes work, as its gate sees it. */
export type TargetState = 'ready' | 'cold' | 'down' | 'leaving';

/** A target as its gate describes it to entries. */
export interface TargetReport {
  readonly name: string;
  readonly kind: TargetKind;
  /** Stages name the group; every target of a group can run the same stages. */
  readonly group: string;
  readonly version: string;
  readonly state: TargetState;
  readonly inFlight: number;
  readonly queued: number;
  /** Most requests that the gate lets run on the target at once. */
  readonly inFlightLimit: number;
  /** Smoothed time of one run on the target. */
  readonly runMs: number;
  /** Hashes of prompt prefixes that the target holds in its cache. */
  readonly prefixHashes: readonly string[];
}
