/** What a node tells operators about itself. */
import type { HybridTimestamp, NodeRole, TargetReport, TimelineEvent } from '@galenatiller/types';

/** Whether a link to another node carries work. */
export type LinkState = 'opening' | 'open' | 'closed';

/** One link as the node sees it. */
export interface LinkStatus {
  readonly peerName: string;
  readonly state: LinkState;
}

/**
 * How far a version move has come at one node.
 * `unproven`: the new version has the small share only. `moving`: its share grows.
 * `done`: it has all traffic. `stopped`: it was found bad and has none.
 */
export type MoveState = 'unproven' | 'moving' | 'done' | 'stopped';

/** A version move as the node sees it. */
export interface MoveStatus {
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly state: MoveState;
  /** Share of traffic of the new version, from 0 to 1. */
  readonly share: number;
  /** Why the move is where it is; empty when there is nothing to say. */
  readonly reason: string;
}

/** State of a node, for operators. */
export interface NodeStatus {
  readonly nodeName: string;
  readonly role: NodeRole;
  readonly availabilityZone: string;
  /** Differs with each start of the process. */
  readonly incarnation: string;
  /** Revision of the configuration in force. */
  readonly configurationRevision: number;
  readonly storeReachable: boolean;
  readonly targets: readonly TargetReport[];
  readonly links: readonly LinkStatus[];
  readonly moves: readonly MoveStatus[];
  /** Requests that run at the node. */
  readonly inFlight: number;
  /** Whether the node is in graceful shutdown. */
  readonly draining: boolean;
}

/** Which events of the time line are asked for; empty strings match all. */
export interface TimelineQuery {
  readonly requestId: string;
  readonly target: string;
  /** Only later events are given. */
  readonly afterTimestamp: HybridTimestamp;
  /** The newest events are given when there are more. */
  readonly maxEvents: number;
}

/** A part of the time line of one node, in its order. */
export interface TimelineResponse {
  readonly events: readonly TimelineEvent[];
}

/** What one node knows about a request. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly events: readonly TimelineEvent[];
}

/** What operators may ask a node. */
export type OperatorRequest =
  | { readonly kind: 'status' }
  | { readonly kind: 'timeline'; readonly query: TimelineQuery }
  | { readonly kind: 'explain'; readonly requestId: string };

/** The reply to each kind of request. */
export interface OperatorResponses {
  readonly status: NodeStatus;
  readonly timeline: TimelineResponse;
  readonly explain: RequestExplanation;
}
