import type { PieceResult } from '@galenatiller/types';

/** The first frame on a link, from the router that opened it. */
export interface HelloFrame {
  readonly kind: 'hello';
  readonly nodeName: string;
  readonly linkVersion: number;
}

/** Asks the peer to have a piece made by a worker of a service that it owns. */
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
  /** Clocks of two hosts differ, so times are told as what is left of them; negative when over. */
  readonly deadlineInMs: number;
  readonly dueInMs: number;
  readonly zoneWaitInMs: number;
  /** Infinity without inputs. */
  readonly inputsExpireInMs: number;
}

/** The piece is not wanted any more. */
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

/** Results that were made for the sender and are not needed any more. */
export interface FreeFrame {
  readonly kind: 'free';
  readonly handles: readonly string[];
}

/** Asks for, or gives, a sign of life. */
export interface KeepAliveFrame {
  readonly kind: 'ping' | 'pong';
}

/** A message between two routers. */
export type RouterFrame =
  HelloFrame | PieceOrderFrame | PieceCancelFrame | PieceEndFrame | FreeFrame | KeepAliveFrame;
