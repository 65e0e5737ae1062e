/** What a target says about itself in an answer, beside the result. */
export interface TargetNotice {
  /** Whether the target is about to leave and wants no new work from any host. */
  readonly isLeaving: boolean;
  /** Set when the target turned a request away and wants nothing from this host for a time. */
  readonly pause?: PauseRequest;
  /** Set when the target states how long work takes on it now. */
  readonly load?: TargetLoad;
}

/** The load of a target, as it states it. */
export interface TargetLoad {
  /** Requests of all senders that run on the target. */
  readonly running: number;
  /** Requests of all senders that wait at the target. */
  readonly waiting: number;
  /** How long work takes on the target now, as a multiple of the usual time. */
  readonly relativeDuration: number;
}

/** What is expected of a target that states how long work takes on it. */
export interface ExpectedLoad {
  /** How long work takes now, as a multiple of the usual time. */
  readonly relativeDuration: number;
  /** What the target has stated last, whatever its age. */
  readonly lastDuration: number;
  /** Requests of other senders that run or wait at the target. */
  readonly otherRequests: number;
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
