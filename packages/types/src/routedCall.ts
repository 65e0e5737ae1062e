/** A shared or own part of a prompt; targets cache prompts part by part. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a call says of itself, whichever front end took it in. */
export interface RoutedCall {
  /** As the caller sent it; unique for each of its attempts. Empty when it sent none. */
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with query, as the caller sent it. */
  readonly path: string;
  /** Empty when the call has none. */
  readonly bearerKey: string;
  /** How long the caller will wait; 0 when it did not say. */
  readonly callerTimeoutMs: number;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Number of pieces of each stage; 0 leaves a stage out. */
  readonly stagePieces: readonly number[];
  /** Names the input of the stages that need no other stage. */
  readonly pieceKey: string;
  /** Last event that the caller has; empty for a new stream. */
  readonly lastEventId: string;
  /** Names and values in turn that go with the call to its target, opaque to the decisions. */
  readonly passedHeaders: readonly string[];
}

/** Why a stage worker did not make a piece. */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'failed' | 'unreachable' | 'busy';

/** One piece of a stage of one call. */
export interface StagePiece {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  /** Input of a stage that needs no other; empty otherwise. */
  readonly key: string;
  /** Results that the piece is made from. */
  readonly inputs: readonly string[];
  /** Monotonic time at which the first of them is dropped by its maker; Infinity without inputs. */
  readonly inputsExpireAtMs: number;
  readonly resultBytes: number;
  /** Zone in which the result is going to be used; empty when that is open. */
  readonly zoneHint: string;
  /** Monotonic time until which it may wait for a worker near its inputs, or in the zone of the hint. */
  readonly zoneWaitUntilMs: number;
  /** Monotonic time by which it has to be made for its call to be answered at all. */
  readonly deadlineAtMs: number;
  /** Monotonic time by which it has to be made for its call to be on time. */
  readonly dueAtMs: number;
  /** 0 is the highest. */
  readonly priority: number;
}

/** The result of a piece stays at its maker under a handle, IP:PORT/NAME. */
export type PieceResult =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'failed'; readonly reason: PieceFailure };

/** What marks the end of a body; `close` also follows when its writer dies without a reset. */
export type BodyEnd = 'length' | 'last-chunk' | 'close';
