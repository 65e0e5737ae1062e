/** What may be repeated of a call. A stream is at-most-once unless its route is resumable. */
export type CallKind = 'idempotent' | 'at-most-once' | 'stream';

/** A service that a route may go to; weights are relative to each other. */
export interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

/** A stage that has to be done before the call itself is sent. */
export interface RouteStage {
  readonly service: string;
  /** Positions of the stages whose results this one needs. */
  readonly dependsOn: readonly number[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** A route of the platform deployment. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly callKind: CallKind;
  readonly timeoutMs: number;
  /** Latency within which an answer is on time. */
  readonly latencyObjectiveMs: number;
  /** Callers give a call up that has brought nothing after this time. */
  readonly firstByteTimeoutMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly destinations: readonly RouteDestination[];
  /** Most targets that one call may be sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly RouteStage[];
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** Limits of a worker that runs pieces of stages in batches. */
export interface BatchLimits {
  /** Most pieces in one call. */
  readonly maxPieces: number;
  /** Time of a call without its pieces. */
  readonly callOverheadMs: number;
  /** Approximate time of one piece. */
  readonly pieceMs: number;
  /** Memory for results. */
  readonly resultMemoryBytes: number;
  /** How long a result stays after its call ended. */
  readonly resultTtlMs: number;
}

/** A service of the platform deployment. */
export interface ServiceConfig {
  readonly name: string;
  /** Requests a second that a cold target bears; 0 when its start makes no difference. */
  readonly maxColdRequestsPerSecond: number;
  /** Set for services that run pieces of stages. */
  readonly batch: BatchLimits | undefined;
}

/** Who may call, by bearer key. */
export interface OrganisationConfig {
  readonly name: string;
  readonly bearerKeys: readonly string[];
  /** Goes before the priority of the route when set. */
  readonly priority: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration in full. */
export interface RouterConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly services: readonly ServiceConfig[];
  /** Undefined when calls need no key. */
  readonly organisations: readonly OrganisationConfig[] | undefined;
  readonly callerLimits: CallerLimits;
}

/** A target as it registered itself in the store. */
export interface RegisteredTarget {
  /** Name of this start of the target; another start under the same name differs in `startedWallMs`. */
  readonly id: string;
  /** Unix time of its start; 0 when it did not say. */
  readonly startedWallMs: number;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly version: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
}
