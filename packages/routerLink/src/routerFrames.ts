import type {
  CrashEvidence,
  LeavingEvidence,
  PieceResult,
  RolloutDecision,
  RolloutEvidence,
} from '@galenatiller/types';

/** The first frame on a link, sent by the router that opened it. */
export interface HelloFrame {
  readonly kind: 'hello';
  readonly nodeName: string;
  readonly linkVersion: number;
}

/** Asks the peer to have a piece run by a worker of a service that the peer owns. */
export interface PieceOrderFrame {
  readonly kind: 'piece-order';
  readonly orderId: number;
  readonly service: string;
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
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
}

/** Cancels an order whose result is no longer wanted. */
export interface PieceCancelFrame {
  readonly kind: 'piece-cancel';
  readonly orderId: number;
}

/** How an order ended. */
export interface PieceEndFrame {
  readonly kind: 'piece-end';
  readonly orderId: number;
  readonly result: PieceResult;
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

/** Checks that the peer is alive, or confirms it. */
export interface KeepAliveFrame {
  readonly kind: 'ping' | 'pong';
}

/** A message between two routers. */
export type RouterFrame =
  | HelloFrame
  | PieceOrderFrame
  | PieceCancelFrame
  | PieceEndFrame
  | FreeFrame
  | CrashEvidenceFrame
  | LeavingEvidenceFrame
  | RolloutEvidenceFrame
  | RolloutDecisionFrame
  | KeepAliveFrame;
