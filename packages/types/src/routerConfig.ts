/** Whether a call may be retried. A stream is at-most-once unless its route is resumable. */
export type CallKind = 'idempotent' | 'at-most-once' | 'stream';

/** A service that a route may send calls to; weights are relative to each other. */
export interface RouteDestination {
  readonly service: string;
  readonly weight: number;
}

/** A stage that must complete before the call itself is sent. */
export interface RouteStage {
  readonly service: string;
  /**
   * Indexes of the stages whose results are the input of this one, each once; they may be higher or lower
   * than that of the stage.
   */
  readonly dependsOn: readonly number[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** A route: the services and limits for calls with a host and path prefix. */
export interface RouteConfig {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly callKind: CallKind;
  readonly timeoutMs: number;
  /** A response within this latency counts as on time. */
  readonly latencyObjectiveMs: number;
  /** Callers abandon a call that has sent them nothing within this time. */
  readonly firstByteTimeoutMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly destinations: readonly RouteDestination[];
  /** Maximum number of targets that one call may run on; sends that provably did not run don't count. */
  readonly maxAttempts: number;
  readonly stages: readonly RouteStage[];
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** A route that can't be run as it was written; calls for its paths are refused. */
export interface InvalidRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly isPublic: boolean;
  /** What is wrong, one sentence each. */
  readonly problems: readonly string[];
}

/** Limits of a stage worker, which runs pieces of stages in batches. */
export interface BatchLimits {
  /** Maximum number of pieces in one batch call. */
  readonly maxPieces: number;
  /** Fixed time of a batch call, without its pieces. */
  readonly callOverheadMs: number;
  /** Approximate time added by each piece. */
  readonly pieceMs: number;
  /** Memory that the worker has for results. */
  readonly resultMemoryBytes: number;
  /** How long the worker keeps a result after its batch call ended. */
  readonly resultTtlMs: number;
}

/** Within which limits the number of workers of a service is set, in each zone. */
export interface ScalingRange {
  readonly minWorkers: number;
  readonly maxWorkers: number;
  /** Time from an order until new workers start serving. */
  readonly bootMs: number;
}

/** A service that the router sends calls to. */
export interface ServiceConfig {
  readonly name: string;
  /**
   * Requests per second that a cold target can handle; 0 when a cold target is as fast as a warm
   * one.
   */
  readonly maxColdRequestsPerSecond: number;
  /** Path at which a target of the service says who it is; unset if it has none of its own. */
  readonly statusPath?: string | undefined;
  /** Set only for services that run pieces of stages. */
  readonly batch: BatchLimits | undefined;
  /** Set only for services whose number of workers is set by the routers. */
  readonly scaling?: ScalingRange | undefined;
}

/** An organisation that may call, identified by its bearer keys. */
export interface OrganisationConfig {
  readonly name: string;
  readonly bearerKeys: readonly string[];
  /** Overrides the priority of the route when set. */
  readonly priority: number | undefined;
}

/** Size limits and timeouts for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the operator's configuration. */
export interface RouterConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly invalidRoutes: readonly InvalidRoute[];
  readonly services: readonly ServiceConfig[];
  /** Undefined when calls need no key. */
  readonly organisations: readonly OrganisationConfig[] | undefined;
  readonly callerLimits: CallerLimits;
  /**
   * What could not be read and is left out or replaced by a default, one sentence each; invalid routes
   * are not among it.
   */
  readonly unreadable: readonly string[];
}

/** A target, as it registered itself in the store. */
export interface RegisteredTarget {
  /** Name of the target; a restart under the same name is told apart by `startedWallMs`. */
  readonly id: string;
  /** Unix time of its start; 0 when it registered none. */
  readonly startedWallMs: number;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly version: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
}
