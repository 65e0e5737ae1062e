/** The history of a run, as the checker reads it. */
import type { Outcome } from '@galenatiller/types';

/** How a request ended for its caller. */
export type RequestEnd =
  | { readonly kind: 'answered' }
  | { readonly kind: 'refused'; readonly code: number; readonly outcome: Outcome }
  | { readonly kind: 'unanswered'; readonly detail: string };

/** One request as its caller saw it. */
export interface RequestRecord {
  /** Id in the headers of the response; empty when there were none. */
  readonly requestId: string;
  /** Id in the body of the response; empty when there was none. */
  readonly bodyRequestId: string;
  readonly organisation: string;
  readonly route: string;
  /** Idempotency key; empty when there was none. */
  readonly runKey: string;
  readonly atMostOnce: boolean;
  readonly issuedWallMs: number;
  /** Text or receipt that came, also when the answer is not whole. */
  readonly text: string;
  /** Text or receipt of the right answer. */
  readonly expected: string;
  readonly end: RequestEnd;
}

/** One run as a target saw it. */
export interface TargetRun {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly attempt: number;
  readonly startedWallMs: number;
  readonly targetName: string;
  readonly availabilityZone: string;
}

/** One effect of a call on a service. */
export interface CallEffect {
  readonly requestId: string;
  readonly runKey: string;
  readonly atWallMs: number;
}

/** One order that took an availability zone out or in. */
export interface ZoneChange {
  readonly availabilityZone: string;
  readonly state: 'in' | 'out';
  /** When the order was accepted. */
  readonly atWallMs: number;
}

/** Everything that happened in one run. */
export interface History {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly TargetRun[];
  readonly effects: readonly CallEffect[];
  readonly zoneChanges: readonly ZoneChange[];
  /** Times that a cold engine was given more than it bears. */
  readonly coldOverloads: number;
}

/** The invariants that a history can break. */
export type ViolationKind =
  | 'unanswered'
  | 'incomplete'
  | 'crossed'
  | 'altered'
  | 'doubled'
  | 'no-effect'
  | 'false-not-run'
  | 'zone-out-run'
  | 'cold-overload';

/** One broken invariant. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly requestId: string;
  readonly detail: string;
}

/** What a history proves. */
export interface Verdict {
  readonly answered: number;
  readonly refused: number;
  /** Requests without an end, with half an answer or with an answer that has no effect. */
  readonly lost: number;
  /** Effects beyond the first for a key. */
  readonly doubled: number;
  /** Answers with anything that is not of their own request. */
  readonly crossed: number;
  readonly violations: readonly Violation[];
}
