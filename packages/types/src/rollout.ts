/** An operator's order to move the traffic of a service to targets of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time in which the rollout has to be completed or rolled back. */
  readonly durationMs: number;
  /** Revision of the store at which the order was written; an order that is written again is a new one. */
  readonly orderRevision: number;
}

/** State of a rollout, as it is kept in the store. */
export type RolloutState = 'running' | 'completed' | 'rolled-back';

/** The state of the rollout of a service to a version. */
export interface RolloutStatus {
  readonly service: string;
  readonly targetVersion: string;
  readonly state: RolloutState;
  /** Other versions that get no calls, as they were rolled back or given up; none if omitted. */
  readonly stoppedVersions?: readonly string[] | undefined;
}

/** What was seen of calls that ran on targets of one version. */
export interface VersionRuns {
  readonly runs: number;
  readonly failures: number;
  /** Number of runs whose pace was measured, and the sum of their paces. */
  readonly measured: number;
  /** The pace of a stream is the time for one event, that of another call its whole time. */
  readonly paceSumMs: number;
  /**
   * Number of runs of which the caller got nothing before it left or the deadline passed; nodes of
   * older builds don't state it.
   */
  readonly lost?: number;
  /** Times to the first event of streams; nodes of older builds don't state them. */
  readonly starts?: StartTimes;
}

/** Sums over the times to the first event of streams. */
export interface StartTimes {
  readonly count: number;
  readonly sumMs: number;
  readonly squareSumMs2: number;
  /** Sum of the times by which prompts may start later on a target that has no part of them cached. */
  readonly allowanceSumMs: number;
}

/** What was seen of both versions of a rollout. */
export interface VersionComparison {
  readonly newRuns: VersionRuns;
  readonly oldRuns: VersionRuns;
}

/** The state that the owner of a rollout has decided on. */
export interface RolloutDecision extends RolloutStatus {
  readonly orderRevision: number;
  /** What was seen of the versions. */
  readonly detail: string;
}

/** What a node has seen of a rollout on one route since it last told the owner. */
export interface RolloutEvidence extends VersionComparison {
  readonly service: string;
  /** Name of the route of the calls; nodes of older builds don't state it. */
  readonly route?: string;
  readonly orderRevision: number;
}
