import type { PieceResult, RegisteredTarget, StagePiece, TargetNotice } from '@galenatiller/types';

/** Response to a batch call: one result for each piece, or why there is none. */
export type BatchResponse = {
  /** What the worker says about itself; unset when it says nothing. */
  readonly notice?: TargetNotice;
} & (
  | {
      readonly kind: 'answered';
      readonly results: readonly PieceResult[];
      /**
       * Closes the connection. Responses to batch calls have no id: after one that is not provably
       * that of its call, the next one on the same connection may be.
       */
      readonly discard: () => void;
    }
  /** `refused`: the worker was full. `moved`: another worker has taken over the address. */
  | { readonly kind: 'refused' | 'moved' | 'unreachable' | 'broken'; readonly detail: string }
);

/** Sends pieces to a worker in one batch call. */
export type RunPieces = (opts: {
  readonly target: RegisteredTarget;
  readonly pieces: readonly StagePiece[];
  readonly signal: AbortSignal;
}) => Promise<BatchResponse>;

/** How a batch call to a worker ended, for logs and metrics. */
export interface BatchEvent {
  readonly target: RegisteredTarget;
  readonly requestIds: readonly string[];
  readonly stages: readonly number[];
  readonly tookMs: number;
  readonly waitedMs: number;
  /** Whether the inputs of the call could be freed before its end. */
  readonly isBegunEarly: boolean;
  /** Results for which the worker had no memory. */
  readonly withoutRoom: number;
  readonly kind: BatchResponse['kind'];
  readonly outcome: string;
}
