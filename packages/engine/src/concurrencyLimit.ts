import type { TargetState } from '@galenatiller/types';

/**
 * How a run on a target ended, as far as it tells about the target.
 * `failed`: the target answered with an error. `broken`: the connection broke.
 * `cold`: the target refused because it is cold. `no-evidence`: cancelled, or refused otherwise.
 */
export type RunEndKind = 'ok' | 'failed' | 'broken' | 'unreachable' | 'cold' | 'no-evidence';

/** Given at the start of a run, and back at its end. */
export interface RunTicket {
  /** Number of the target's cold turn that the run started in. */
  readonly coldStartNumber: number;
  /** Runs on the target when this one had started. */
  readonly inFlight: number;
}

/** The end of a run. */
export interface EndedRun {
  readonly ticket: RunTicket;
  readonly how: RunEndKind;
  /** Time until the first part of the answer. */
  readonly firstPartMs: number;
}

/** Decides how many runs a target bears at once. */
export interface ConcurrencyLimit {
  /** Most runs at once now. */
  readonly limit: () => number;
  readonly state: () => TargetState;
  /** A run starts. */
  readonly onRunStarted: () => RunTicket;
  /** The target has told its identity, which changes when it restarts; empty when it has none. */
  readonly onStartId: (startId: string) => void;
  readonly onRunEnded: (ended: EndedRun) => void;
}
