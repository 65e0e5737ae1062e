/** What a target says about itself in an answer, beside the result. */
export interface TargetNotice {
  /** Whether the target is about to leave and wants no new work from any host. */
  readonly isLeaving: boolean;
  /** Set when the target turned a request away and wants nothing from this host for a time. */
  readonly pause?: PauseRequest;
}

/** A request of a target to be sent nothing for a time, as it was received. */
export interface PauseRequest {
  /** The text that was received. */
  readonly text: string;
  /** The times in the text; NaN for one that is no number of seconds. */
  readonly valuesMs: readonly number[];
}

/** Evidence that one start of a target is leaving, as routers pass it on. */
export interface LeavingEvidence {
  readonly targetId: string;
  readonly targetStart: string;
  /** Time since the target's answer. */
  readonly agoMs: number;
}
