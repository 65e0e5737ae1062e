import type {
  Configuration,
  Priority,
  StageEnd,
  StageInput,
  StageRule,
  TargetReport,
} from '@galenatiller/types';
import type { Maybe } from 'true-myth';

/** A target as seen by an entry: the gate's latest report and the entry's own state. */
export interface TargetView {
  readonly report: TargetReport;
  readonly gateName: string;
  readonly availabilityZone: string;
  /** Age of the report. */
  readonly reportAgeMs: number;
  /** Attempts of this entry that are in progress. */
  readonly ownInFlight: number;
  /** Attempts that this entry has sent since the report was made. */
  readonly sentSinceReport: number;
  /** False when the gate or its host is leaving, or when this entry no longer selects the gate. */
  readonly isAcceptingWork: boolean;
}

/** Options of {@link ChooseTarget}. */
export interface ChooseTargetOptions {
  /** Targets of the target group of the stage. */
  readonly candidates: readonly TargetView[];
  /** Names of the targets that earlier attempts at this stage have used. */
  readonly triedTargets: readonly string[];
  readonly stage: StageRule;
  readonly route: string;
  readonly input: StageInput;
  readonly priority: Priority;
  readonly remainingMs: number;
  readonly ownAvailabilityZone: string;
  readonly configuration: Configuration;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Chooses the target of the next attempt, or nothing when no target is eligible. */
export type ChooseTarget = (opts: ChooseTargetOptions) => Maybe<TargetView>;

/** Options of {@link DecideRetry}. */
export interface DecideRetryOptions {
  readonly stage: StageRule;
  readonly end: StageEnd;
  /** Number of attempts so far, including the failed one. */
  readonly attempts: number;
  readonly remainingMs: number;
  readonly random: () => number;
  /** Withdraws a retry from the budget; returns false when the budget is exhausted. */
  readonly tryWithdrawRetry: () => boolean;
}

/** Whether a failed attempt is retried, and after which delay. */
export type RetryDecision =
  { readonly kind: 'retry'; readonly delayMs: number } | { readonly kind: 'give-up' };

/** Decides whether a failed attempt is retried. */
export type DecideRetry = (opts: DecideRetryOptions) => RetryDecision;

/** Estimate for a stage of a call before it starts. */
export interface StageEstimate {
  /** Expected run time; 0 when unknown. */
  readonly expectedRunMs: number;
  /** Targets of the target group of the stage. */
  readonly candidates: readonly TargetView[];
}

/** Options of {@link AdmitCall}. */
export interface AdmitCallOptions {
  readonly stages: readonly StageEstimate[];
  readonly remainingMs: number;
}

/** Whether a call may start. A refused call has not run. */
export type AdmitCallDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Decides whether a call may start. */
export type AdmitCall = (opts: AdmitCallOptions) => AdmitCallDecision;

/** Decision functions of an entry. */
export interface EntryPolicy {
  readonly admitCall: AdmitCall;
  readonly chooseTarget: ChooseTarget;
  readonly decideRetry: DecideRetry;
}
