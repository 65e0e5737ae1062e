/** Requests that operators send to a node, and its responses. */
import type { HybridTimestamp, NodeRole, TargetReport, TimelineEvent } from '@galenatiller/types';

/** State of a link to another node; only an open link carries requests. */
export type LinkState = 'opening' | 'open' | 'closed';

/** One link from the node's point of view. */
export interface LinkStatus {
  readonly peerName: string;
  readonly state: LinkState;
}

/**
 * Progress of a version move at one node.
 * `unproven`: the new version gets only the initial share. `moving`: its share grows.
 * `done`: it gets all traffic. `stopped`: it was found faulty and gets no traffic.
 */
export type MoveState = 'unproven' | 'moving' | 'done' | 'stopped';

/** A version move from the node's point of view. */
export interface MoveStatus {
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly state: MoveState;
  /** Share of traffic that goes to the new version, from 0 to 1. */
  readonly share: number;
  /** Reason for the state; empty when there is none. */
  readonly reason: string;
}

/** Status of a node as reported to operators. */
export interface NodeStatus {
  readonly nodeName: string;
  readonly role: NodeRole;
  readonly availabilityZone: string;
  /** Identifies one run of the process; differs after each start. */
  readonly incarnation: string;
  /** Revision of the active configuration. */
  readonly configurationRevision: number;
  readonly storeReachable: boolean;
  readonly targets: readonly TargetReport[];
  readonly links: readonly LinkStatus[];
  readonly moves: readonly MoveStatus[];
  /** Number of requests being processed at the node. */
  readonly inFlight: number;
  /** Whether the node is shutting down gracefully. */
  readonly draining: boolean;
}

/** Filter for timeline events; empty strings match all. */
export interface TimelineQuery {
  readonly requestId: string;
  readonly target: string;
  /** Only events after this timestamp are returned. */
  readonly afterTimestamp: HybridTimestamp;
  /** When more events match, only the newest are returned. */
  readonly maxEvents: number;
}

/** Matching events of one node's timeline, in timeline order. */
export interface TimelineResponse {
  readonly events: readonly TimelineEvent[];
}

/** Events of one request that a node has recorded. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly events: readonly TimelineEvent[];
}

/** A request of an operator to a node. */
export type OperatorRequest =
  | { readonly kind: 'status' }
  | { readonly kind: 'timeline'; readonly query: TimelineQuery }
  | { readonly kind: 'explain'; readonly requestId: string };

/** Response type for each kind of request. */
export interface OperatorResponses {
  readonly status: NodeStatus;
  readonly timeline: TimelineResponse;
  readonly explain: RequestExplanation;
}
