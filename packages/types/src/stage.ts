import type { JsonValue } from './json.js';
import type { Outcome } from './outcome.js';
import type { TargetReport } from './target.js';

/** The kind of work that a stage does. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';

/** Scheduling class of a request; interactive requests are scheduled before batch requests. */
export type Priority = 'interactive' | 'batch';

/** A text passage found by retrieval, with its relevance score (higher is better). */
export interface Passage {
  readonly id: string;
  readonly text: string;
  readonly score: number;
}

/** Input of a stage, discriminated by the kind of stage. */
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
      /**
       * Text that the caller already received, when an interrupted stream is resumed on another
       * target.
       */
      readonly deliveredText: string;
      readonly deliveredTokens: number;
    }
  | { readonly kind: 'call'; readonly body: JsonValue };

/** Result of a stage, discriminated by the kind of stage. */
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

/** A request from an entry to a gate to run one stage on one target. */
export interface StageRequest extends AttemptId {
  readonly targetName: string;
  readonly organisation: string;
  readonly route: string;
  readonly stage: string;
  readonly priority: Priority;
  /** Time left until the deadline of the caller's request when this request was sent. */
  readonly remainingMs: number;
  /** Whether the stage may run more than once. */
  readonly idempotent: boolean;
  /** The caller's idempotency key, scoped to its organisation; empty when there is none. */
  readonly runKey: string;
  /** Digest of the caller's body; a key that is reused with another body is rejected. */
  readonly bodyDigest: string;
  readonly input: StageInput;
}

/** A part of a streamed response; `offsetTokens` counts from the start of the whole response. */
export interface StagePart {
  readonly offsetTokens: number;
  readonly tokens: number;
  readonly text: string;
}

/** How one attempt at a stage ended. */
export interface StageEnd {
  readonly outcome: Outcome;
  /** A result code from the error package; 0 means success. */
  readonly code: number;
  readonly detail: string;
  readonly result?: StageResult;
  readonly retryAfterMs: number;
  readonly queueMs: number;
  readonly runMs: number;
  /** State of the target after the attempt; absent when the gate does not know the target. */
  readonly report?: TargetReport;
}
