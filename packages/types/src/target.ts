/** The kind of peer behind a target. */
export type TargetKind = 'engine' | 'pool' | 'service';

/** State of a target, as observed by its gate. */
export type TargetState = 'ready' | 'cold' | 'down' | 'leaving';

/** State and load of a target, as its gate reports them to entries. */
export interface TargetReport {
  readonly name: string;
  readonly kind: TargetKind;
  /** Stages refer to the group; every target of a group can run the same stages. */
  readonly group: string;
  readonly version: string;
  readonly state: TargetState;
  readonly inFlight: number;
  readonly queued: number;
  /** Maximum number of requests that the gate runs on the target at once. */
  readonly inFlightLimit: number;
  /** Moving average of the time of one run on the target. */
  readonly runMs: number;
  /** Time until the target may be sent requests again; unset or 0 when it asked for no pause. */
  readonly pausedMs?: number | undefined;
  /** Hashes of the prompt prefixes in the cache of the target. */
  readonly prefixHashes: readonly string[];
}
