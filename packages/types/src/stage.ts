import type { JsonValue } from './json.js';
import type { Outcome } from './outcome.js';
import type { TargetReport } from './target.js';

/** The work that a stage does. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';

/** Scheduling class of a request: interactive work goes before batch work. */
export type Priority = 'interactive' | 'batch';

/** One text passage found by retrieval, with its relevance score (higher is better). */
export interface Passage {
  readonly id: string;
  readonly text: string;
  readonly score: number;
}

/** Input of one stage, tagged by the kind of stage. */
export type StageInput =
  | { readonly kind: 'encode'; readonly texts: readonly string[] }
  | {
      readonly kind: 'retrieve';
      readonly query: string;
      readonly vector: readonly number[];
      readonly passageLimit: number;
    }
  | { readonly kind: 'rerank'; readonly query: string; readonly passages: readonly Passage[] }
  | {
      readonly kind: 'generate';
      readonly prompt: string;
      readonly maxTokens: number;
      /** Text that the caller has already, when a broken stream is resumed elsewhere. */
      readonly deliveredText: string;
      readonly deliveredTokens: number;
    }
  | { readonly kind: 'call'; readonly body: JsonValue };

/** Result of one stage, tagged by the kind of stage. */
export type StageResult =
  | { readonly kind: 'encode'; readonly vectors: readonly (readonly number[])[] }
  | { readonly kind: 'retrieve'; readonly passages: readonly Passage[] }
  | { readonly kind: 'rerank'; readonly passages: readonly Passage[] }
  | {
      readonly kind: 'generate';
      readonly tokens: number;
      readonly finishReason: 'stop' | 'length';
    }
  | { readonly kind: 'call'; readonly status: number; readonly body: JsonValue };

/** Identifies one attempt at one stage of one request. */
export interface AttemptId {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly attempt: number;
}

/** An order from an entry to a gate to run one stage on one target. */
export interface StageRequest extends AttemptId {
  readonly targetName: string;
  readonly organisation: string;
  readonly route: string;
  readonly stage: string;
  readonly priority: Priority;
  /** Time left until the deadline of the request when the order was sent. */
  readonly remainingMs: number;
  /** False when the stage must run at most once. */
  readonly idempotent: boolean;
  /** Idempotency key of the caller, scoped to the organisation; empty when there is none. */
  readonly runKey: string;
  /** Digest of the caller's body, to refuse one key with two bodies. */
  readonly bodyDigest: string;
  readonly input: StageInput;
}

/** A piece of streamed text; `offsetTokens` counts from the start of the whole answer. */
export interface StagePart {
  readonly offsetTokens: number;
  readonly tokens: number;
  readonly text: string;
}

/** The end of one attempt at a stage. */
export interface StageEnd {
  readonly outcome: Outcome;
  /** A result code of the error package; 0 is success. */
  readonly code: number;
  readonly detail: string;
  readonly result?: StageResult;
  readonly retryAfterMs: number;
  readonly queueMs: number;
  readonly runMs: number;
  /** State of the target after the attempt, when the gate knows the target. */
  readonly report?: TargetReport;
}
