import type { RelayRequest, RelayResponse } from '@galenatiller/store';
import type {
  CrashEvidence,
  LeavingEvidence,
  LoadUpdate,
  PieceResult,
  PriorityWait,
  RolloutDecision,
  RolloutEvidence,
  UsageUpdate,
} from '@galenatiller/types';

/** The first frame on a link, sent by the router that opened it. */
export interface HelloFrame {
  readonly kind: 'hello';
  readonly nodeName: string;
  readonly linkVersion: number;
}

/** One piece of an order. */
export interface OrderedPiece {
  readonly orderId: number;
  readonly piece: number;
}

/** What decides, besides its priority, when a piece is taken. */
export interface OrderedUrgency {
  /** Time left until the pieces have to start for the call to be on time; negative when past. */
  readonly latestStartInMs: number;
  readonly remainingMs: number;
  readonly hasBegun: boolean;
  readonly organisation: string;
}

/**
 * Asks the peer to have pieces of one stage of a call run by workers of a shard that the peer owns, or
 * whose owner can't be reached.
 */
export interface PieceOrderFrame {
  readonly kind: 'piece-order';
  readonly pieces: readonly OrderedPiece[];
  readonly service: string;
  readonly shard: string;
  readonly requestId: string;
  readonly stage: number;
  readonly key: string;
  readonly inputs: readonly string[];
  readonly resultBytes: number;
  readonly zoneHint: string;
  readonly priority: number;
  /** Clocks of hosts differ, so times are sent as the time left until then; negative when past. */
  readonly deadlineInMs: number;
  readonly dueInMs: number;
  readonly zoneWaitInMs: number;
  /** Infinity for a piece without inputs. */
  readonly inputsExpireInMs: number;
  /** Whether the sender wants to know when the pieces have begun; routers of an earlier release don't. */
  readonly reportsBegun?: boolean;
  /** Routers of earlier versions send and expect none. */
  readonly urgency?: OrderedUrgency | undefined;
  /** Routers of earlier versions send and expect none. */
  readonly fingerprint?: string | undefined;
}

/** Says that workers have fetched the inputs of pieces whose order asked for that. */
export interface PiecesBegunFrame {
  readonly kind: 'pieces-begun';
  readonly orderIds: readonly number[];
}

/** Cancels pieces whose results are no longer wanted. */
export interface PieceCancelFrame {
  readonly kind: 'piece-cancel';
  readonly orderIds: readonly number[];
}

/** How a piece of an order ended. */
export interface PieceEndFrame {
  readonly kind: 'piece-end';
  readonly orderId: number;
  readonly result: PieceResult;
  /** Time that a new piece would wait for a worker of the shard. */
  readonly waitMs: number;
  /** Longer waits for the workers of the shard, by priority; unset without any, or in earlier versions. */
  readonly waits?: readonly PriorityWait[] | undefined;
}

/** Frees results that were made for the sender and are no longer needed. */
export interface FreeFrame {
  readonly kind: 'free';
  readonly handles: readonly string[];
}

/** Shares what the sender knows about calls that crash targets. */
export interface CrashEvidenceFrame {
  readonly kind: 'crash-evidence';
  readonly evidence: readonly CrashEvidence[];
}

/** Tells a peer which targets have said that they are leaving. */
export interface LeavingEvidenceFrame {
  readonly kind: 'leaving-evidence';
  readonly evidence: readonly LeavingEvidence[];
}

/** Tells the owner of rollouts how calls ran on their versions. */
export interface RolloutEvidenceFrame {
  readonly kind: 'rollout-evidence';
  readonly evidence: readonly RolloutEvidence[];
}

/** Tells a peer that a rollout has been rolled back, which must not wait for the store. */
export interface RolloutDecisionFrame {
  readonly kind: 'rollout-decision';
  readonly decision: RolloutDecision;
}

/** Tells a router that reports usage what the sender has counted; sent only where usage is reported. */
export interface UsageCountsFrame {
  readonly kind: 'usage-counts';
  readonly update: UsageUpdate;
}

/** Tells a router that sets numbers of workers how busy they are; sent only where it does so. */
export interface ServiceLoadFrame {
  readonly kind: 'service-load';
  readonly update: LoadUpdate;
}

/** Asks the peer for what it has read from the store. */
export interface ReadRequestFrame {
  readonly kind: 'read-request';
  readonly requestId: number;
  readonly request: RelayRequest;
}

/** Responds to a {@link ReadRequestFrame}. */
export interface ReadResponseFrame {
  readonly kind: 'read-response';
  readonly requestId: number;
  readonly response: RelayResponse;
}

/** Asks the peer for a send to a target beyond the equal share of the sender. */
export interface PermitRequestFrame {
  readonly kind: 'permit-request';
  readonly requestId: number;
  /** Address of the target. */
  readonly address: string;
  readonly service: string;
}

/** Responds to a {@link PermitRequestFrame}. */
export interface PermitResponseFrame {
  readonly kind: 'permit-response';
  readonly requestId: number;
  readonly isGranted: boolean;
}

/** Checks that the peer is alive. */
export interface PingFrame {
  readonly kind: 'ping';
}

/** Confirms that the sender is alive, and says how much work it accepts. */
export interface PongFrame {
  readonly kind: 'pong';
  /** Pieces that the receiver may have in progress at the sender; Infinity without a limit. */
  readonly maxPieces: number;
}

/** A message between two routers. */
export type RouterFrame =
  | HelloFrame
  | PieceOrderFrame
  | PieceCancelFrame
  | PiecesBegunFrame
  | PieceEndFrame
  | FreeFrame
  | CrashEvidenceFrame
  | LeavingEvidenceFrame
  | RolloutEvidenceFrame
  | RolloutDecisionFrame
  | UsageCountsFrame
  | ServiceLoadFrame
  | ReadRequestFrame
  | ReadResponseFrame
  | PermitRequestFrame
  | PermitResponseFrame
  | PingFrame
  | PongFrame;
