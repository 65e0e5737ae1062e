import type { GalenatillerError } from '@galenatiller/error';
import type { RunPieces } from '@galenatiller/pool';
import type { BodyEnd, RegisteredTarget, RoutedCall } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** A call as it is sent to a target. */
export interface SendCallOptions {
  readonly target: RegisteredTarget;
  readonly call: RoutedCall;
  readonly body: Buffer;
  /** Name of the organisation; empty for a public route. */
  readonly organisation: string;
  /** What is left of the deadline. */
  readonly remainingMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Handles of the results that the target fetches first. */
  readonly inputs: readonly string[];
  /** Last event that the caller has; empty for a new run. */
  readonly lastEventId: string;
  readonly signal: AbortSignal;
}

/** An answer of a target; reading the body throws when it breaks off. */
export interface SendResponse {
  readonly kind: 'answered';
  readonly status: number;
  /** Whether the target's proof of origin is there; a success without it is not passed on. */
  readonly isSealed: boolean;
  /** What the caller gets with the answer, opaque to the decisions. */
  readonly passedHeaders: readonly string[];
  readonly bodyEnd: BodyEnd;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection of the answer. */
  readonly discard: () => void;
}

/**
 * How a send ended. `refused`: the target states that it did not run the call. `moved`: another
 * target has the address. `inputs-gone`: not run, since an input no longer exists. `unsent`: nothing
 * reached the target. `broken`: it may have run. `foreign`: the answer belongs to another call.
 */
export type SendResult =
  | SendResponse
  | {
      readonly kind: 'refused' | 'moved' | 'inputs-gone' | 'unsent' | 'broken' | 'foreign';
      readonly detail: string;
    };

/** Sends a call to a target. */
export type SendCall = (opts: SendCallOptions) => Promise<SendResult>;

/** Tells a stage worker that results are not needed any more. */
export type FreeResults = (opts: {
  readonly address: string;
  readonly handles: readonly string[];
}) => Promise<void>;

/** Calls to targets, made by an adapter. */
export interface TargetClient {
  readonly sendCall: SendCall;
  readonly runPieces: RunPieces;
  readonly freeResults: FreeResults;
}

/** Why the body of a call could not be read. */
export type BodyFailure = 'too-large' | 'broken';

/** The head of an answer to a caller. */
export interface ResponseHead {
  readonly status: number;
  readonly passedHeaders: readonly string[];
  /** How the body will end; an end that proves nothing must not become one that does. */
  readonly bodyEnd: BodyEnd;
  /** Length of the body; only read if its end is marked by `length`. */
  readonly bodyBytes: number;
}

/** One call of a caller and the means to answer it, made by a front end. */
export interface CallerExchange {
  readonly call: RoutedCall;
  /** Monotonic time at which the head of the call was read. */
  readonly receivedAtMs: number;
  /** Aborts when the caller closes its connection before the answer is complete. */
  readonly disconnected: AbortSignal;
  readonly readBody: (maxBytes: number) => Promise<Result<Buffer, BodyFailure>>;
  /** Answers with an error of our own. */
  readonly refuse: (error: GalenatillerError) => void;
  readonly writeHead: (head: ResponseHead) => void;
  /** Resolves when more may be written. */
  readonly write: (bytes: Buffer) => Promise<void>;
  readonly end: () => void;
  /** Closes the connection so that what was sent does not look complete. */
  readonly abort: () => void;
}
