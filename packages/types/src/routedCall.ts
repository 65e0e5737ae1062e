/** A segment of a prompt, possibly shared with other prompts; targets cache prompts by segment. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A call as received from a caller, independent of the front end that decoded it. */
export interface RoutedCall {
  /**
   * Request id sent by the caller, unique for each of the caller's attempts; empty when it sent
   * none.
   */
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Empty when the call has no bearer key. */
  readonly bearerKey: string;
  /** Timeout set by the caller; 0 when it set none. */
  readonly callerTimeoutMs: number;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Number of pieces of each stage, NaN for one that can't be read; a stage with 0 pieces is skipped. */
  readonly stagePieces: readonly number[];
  /** Identifies the input of the stages that depend on no other stage. */
  readonly pieceKey: string;
  /** Id of the last event that the caller received; empty for a new stream. */
  readonly lastEventId: string;
  /**
   * Headers forwarded to the target, as alternating names and values; routing decisions ignore them.
   */
  readonly passedHeaders: readonly string[];
}

/**
 * Why a piece has no result. `late`: the result is no longer needed or can no longer be in time.
 * `input-gone`: an input no longer exists. `no-room`: the worker has no memory for the result. `failed`:
 * the worker reported an error. `unreachable`: every attempt failed. `busy`: the piece can't meet its
 * deadline behind the others in the queue.
 */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'failed' | 'unreachable' | 'busy';

/** What decides, besides its priority, when a piece is taken. */
export interface PieceUrgency {
  /** Monotonic time by which the piece has to start for its call to be on time. */
  readonly latestStartAtMs: number;
  /** Time of workers that the call still needs, for this stage and all later ones. */
  readonly remainingMs: number;
  /** Whether earlier stages of the call are done. */
  readonly hasBegun: boolean;
  /** Empty when the call needs no key. */
  readonly organisation: string;
}

/** One piece of a stage of one call. */
export interface StagePiece {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  /** Input of the piece when its stage depends on no other stage; empty otherwise. */
  readonly key: string;
  /** Handles of the results that the piece takes as input. */
  readonly inputs: readonly string[];
  /** Monotonic time at which the first input is dropped by its worker; Infinity without inputs. */
  readonly inputsExpireAtMs: number;
  readonly resultBytes: number;
  /** Zone in which the result will be used; empty when not known yet, or when the result is small. */
  readonly zoneHint: string;
  /** Monotonic time until which the piece may wait for a busy worker in the hinted zone. */
  readonly zoneWaitUntilMs: number;
  /** Monotonic time by which the piece must be done for its call to meet its deadline. */
  readonly deadlineAtMs: number;
  /** Monotonic time by which the piece must be done for its call to meet the latency objective. */
  readonly dueAtMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Unset when a router of an earlier version ordered the piece. */
  readonly urgency?: PieceUrgency | undefined;
  /** Equal for the pieces of a stage of calls with the same content; unset like the urgency. */
  readonly fingerprint?: string | undefined;
}

/** How long a new piece of a priority has to expect to wait for a worker, and still be on time. */
export interface PriorityWait {
  readonly priority: number;
  readonly waitMs: number;
  /** For how long the oldest piece of the priority has waited, whether it can be on time or not. */
  readonly oldestMs: number;
}

/** Why a call was turned away before any work for it began. */
export type AdmissionRefusal = 'past-deadline' | 'hopeless' | 'event-loop';

/**
 * The result of a piece is kept by the worker that ran it, under a handle of the form IP:PORT/NAME.
 */
export type PieceResult =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'failed'; readonly reason: PieceFailure };

/**
 * How the end of a body is delimited; `none` if the response has no body by definition. With `close`,
 * a peer that crashes without a reset looks the same as a complete body.
 */
export type BodyEnd = 'length' | 'last-chunk' | 'close' | 'none';
