/** History of a run: the input and the result of the checker. */
import type { Outcome } from '@galenatiller/types';

/** How a request ended for its caller. */
export type RequestEnd =
  | { readonly kind: 'answered' }
  | { readonly kind: 'refused'; readonly code: number; readonly outcome: Outcome }
  | { readonly kind: 'unanswered'; readonly detail: string };

/** One request, as recorded by its caller. */
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
  /** Text or receipt that was received, also of an incomplete response. */
  readonly text: string;
  /** Text or receipt of the correct response. */
  readonly expected: string;
  readonly end: RequestEnd;
}

/** One run of a stage, as recorded by its target. */
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

/** A change that took an availability zone out of service or back in. */
export interface ZoneChange {
  readonly availabilityZone: string;
  readonly state: 'in' | 'out';
  /** When the change was accepted. */
  readonly atWallMs: number;
}

/** Everything that happened in one run. */
export interface History {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly TargetRun[];
  readonly effects: readonly CallEffect[];
  readonly zoneChanges: readonly ZoneChange[];
  /** How often a cold engine got more requests than it can handle. */
  readonly coldOverloads: number;
}

/** The ways in which a history can break an invariant. */
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

/** Result of checking a history. */
export interface Verdict {
  readonly answered: number;
  readonly refused: number;
  /** Requests without a response, with an incomplete one, or answered without their effect. */
  readonly lost: number;
  /** Effects after the first one of an idempotency key. */
  readonly doubled: number;
  /** Responses with the id or text of another request, or with altered text. */
  readonly crossed: number;
  readonly violations: readonly Violation[];
}
