import type { GalenatillerError } from '@galenatiller/error';
import type { RunPieces } from '@galenatiller/pool';
import type { BodyEnd, RegisteredTarget, RoutedCall, TargetNotice } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** A call as it is sent to a target. */
export interface SendCallOptions {
  readonly target: RegisteredTarget;
  readonly call: RoutedCall;
  readonly body: Buffer;
  /** Name of the organisation; empty when the call needs no key. */
  readonly organisation: string;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Handles of the stage results that the target fetches before it runs the call. */
  readonly inputs: readonly string[];
  /** Id of the last event that the caller has; empty for a new run. */
  readonly lastEventId: string;
  readonly signal: AbortSignal;
}

/** A response of a target; reading the body throws when it is interrupted. */
export interface SendResponse {
  readonly kind: 'answered';
  readonly status: number;
  /** Whether the response has the target's proof of origin; a success without it is not forwarded. */
  readonly isSealed: boolean;
  /** Whether the response states that its body is an event stream. */
  readonly isEventStream: boolean;
  /** What the target says about itself; unset when it says nothing. */
  readonly notice?: TargetNotice;
  /**
   * Headers forwarded to the caller, as alternating names and values; routing decisions ignore them.
   */
  readonly passedHeaders: readonly string[];
  readonly bodyEnd: BodyEnd;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection of the response. */
  readonly discard: () => void;
}

/**
 * How a send ended. `refused`: the target states that it did not run the call. `moved`: another
 * target has the address. `inputs-gone`: not run, because an input no longer exists. `unsent`:
 * nothing reached the target. `broken`: the connection failed and the call may have run. `foreign`:
 * the response belongs to another call.
 */
export type SendResult =
  | SendResponse
  | {
      readonly kind: 'refused' | 'moved' | 'inputs-gone' | 'unsent' | 'broken' | 'foreign';
      readonly detail: string;
      /** What the target says about itself in an answer that is its own. */
      readonly notice?: TargetNotice;
    };

/** Sends a call to a target. */
export type SendCall = (opts: SendCallOptions) => Promise<SendResult>;

/**
 * Tells a stage worker to free results that are no longer needed; resolves to what the answer says
 * about the worker.
 */
export type FreeResults = (opts: {
  /** Id of the worker at the address; empty when it is not known. */
  readonly targetId: string;
  readonly address: string;
  readonly handles: readonly string[];
}) => Promise<TargetNotice | undefined>;

/** Tries to connect to a target; `refused` shows that no process listens there. */
export type ProbeTarget = (opts: {
  readonly address: string;
}) => Promise<'connected' | 'refused' | 'silent'>;

/**
 * What is known of the process that a target was. `same-start`: it answered. `other-start`: another one has its
 * address. `gone`: nothing listens there. `unknown`: no answer, or one that does not tell.
 */
export type SenderState = 'same-start' | 'other-start' | 'gone' | 'unknown';

/** Asks the process at the address of a target who it is, on a connection of its own. */
export type IdentifyTarget = (opts: {
  readonly target: RegisteredTarget;
  /** Path at which targets of its service say who they are. */
  readonly path: string;
}) => Promise<{
  readonly state: SenderState;
  /** What the target says about itself, if it has answered. */
  readonly notice?: TargetNotice | undefined;
}>;

/** Functions that call targets; implemented by an adapter. */
export interface TargetClient {
  readonly sendCall: SendCall;
  readonly runPieces: RunPieces;
  readonly freeResults: FreeResults;
  readonly probe: ProbeTarget;
  readonly identify: IdentifyTarget;
}

/**
 * Why the body of a call could not be read. `no-memory`: it was given up for others. `too-many-chunks`: its
 * chunks are too small for their number.
 */
export type BodyFailure = 'too-large' | 'broken' | 'too-slow' | 'no-memory' | 'too-many-chunks';

/** The head of a response to a caller. */
export interface ResponseHead {
  readonly status: number;
  readonly passedHeaders: readonly string[];
  /**
   * How the end of the body is delimited. `close` proves nothing to the caller, like that of the target,
   * and is only used for a body that leaves the router in one write: if the router is killed later, the
   * kernel closes its connections in an orderly way, which would complete a body that is cut.
   */
  readonly bodyEnd: BodyEnd;
  /** Length of the body; only used if `bodyEnd` is `length`. */
  readonly bodyBytes: number;
}

/** One call and the functions that respond to its caller; implemented by a front end. */
export interface CallerExchange {
  readonly call: RoutedCall;
  /** Monotonic time at which the request head was read. */
  readonly receivedAtMs: number;
  /** Aborts when the caller closes its connection before the response is complete. */
  readonly disconnected: AbortSignal;
  readonly readBody: (opts: {
    readonly maxBytes: number;
    /** Monotonic time until which the body must be complete. */
    readonly deadlineAtMs: number;
  }) => Promise<Result<Buffer, BodyFailure>>;
  /** Releases the memory of the body, once the task of the call has ended. */
  readonly release: () => void;
  /** Responds with an error of the router itself. */
  readonly refuse: (error: GalenatillerError) => void;
  /** Resolves when all earlier responses of the connection have left, or when the connection has closed. */
  readonly whenNext: () => Promise<void>;
  /** Whether the protocol of the caller shows where a body of unknown length ends; else its connection does. */
  readonly hasChunks: boolean;
  readonly writeHead: (head: ResponseHead) => void;
  /** Writes parts of the body together; resolves when more may be written. */
  readonly write: (parts: readonly Buffer[]) => Promise<void>;
  readonly end: () => void;
  /** Closes the connection in a way that shows the response to be incomplete. */
  readonly abort: () => void;
}
