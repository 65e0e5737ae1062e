import type { TargetState } from '@galenatiller/types';

/**
 * How a run on a target ended, as far as that is evidence of the target's state.
 * `failed`: the target responded with an error. `broken`: the connection broke.
 * `cold`: the target refused because it is cold. `no-evidence`: cancelled, or refused otherwise.
 */
export type RunEndKind = 'ok' | 'failed' | 'broken' | 'unreachable' | 'cold' | 'no-evidence';

/** Issued at the start of a run, and passed back at its end. */
export interface RunTicket {
  /** Number of cold starts of the target before the run started. */
  readonly coldStartNumber: number;
  /** Concurrent runs on the target when this one started, including this one. */
  readonly inFlight: number;
}

/** The end of a run. */
export interface EndedRun {
  readonly ticket: RunTicket;
  readonly how: RunEndKind;
  /** Time until the first part of the response. */
  readonly firstPartMs: number;
}

/** Decides how many concurrent runs a target can handle. */
export interface ConcurrencyLimit {
  /** Maximum number of concurrent runs now. */
  readonly limit: () => number;
  readonly state: () => TargetState;
  /** Called when a run starts. */
  readonly onRunStarted: () => RunTicket;
  /**
   * Called with the identity of the target, which changes when it restarts; empty when it has none.
   */
  readonly onStartId: (startId: string) => void;
  /** Called when a run has ended. */
  readonly onRunEnded: (ended: EndedRun) => void;
}
