import type {
  Configuration,
  Priority,
  StageEnd,
  StageInput,
  StageRule,
  TargetReport,
} from '@galenatiller/types';
import type { Maybe } from 'true-myth';

/** A target as an entry sees it: the gate's last report and what the entry knows itself. */
export interface TargetView {
  readonly report: TargetReport;
  readonly gateName: string;
  readonly availabilityZone: string;
  /** Age of the report. */
  readonly reportAgeMs: number;
  /** Attempts of this entry that have not ended. */
  readonly ownInFlight: number;
  /** Attempts of this entry that were sent after the report was made. */
  readonly sentSinceReport: number;
  /** False once the gate or its host says that it is leaving. */
  readonly takesWork: boolean;
}

/** Options of {@link ChooseTarget}. */
export interface ChooseTargetOptions {
  /** Targets of the group of the stage. */
  readonly candidates: readonly TargetView[];
  /** Targets that attempts at this stage have used already. */
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

/** Chooses the target of the next attempt; nothing when none may take the work. */
export type ChooseTarget = (opts: ChooseTargetOptions) => Maybe<TargetView>;

/** Options of {@link DecideRetry}. */
export interface DecideRetryOptions {
  readonly stage: StageRule;
  readonly end: StageEnd;
  /** Attempts so far, the ended one included. */
  readonly attempts: number;
  readonly remainingMs: number;
  readonly random: () => number;
  /** Spends a retry of the budget; false when none is left. */
  readonly tryWithdrawRetry: () => boolean;
}

/** What follows a failed attempt. */
export type RetryDecision =
  { readonly kind: 'retry'; readonly delayMs: number } | { readonly kind: 'give-up' };

/** Decides whether a failed attempt is followed by another. */
export type DecideRetry = (opts: DecideRetryOptions) => RetryDecision;

/** A stage of a call to come. */
export interface StageEstimate {
  /** Expected run time; 0 when unknown. */
  readonly runMs: number;
  /** Targets of the group of the stage. */
  readonly candidates: readonly TargetView[];
}

/** Options of {@link AdmitCall}. */
export interface AdmitCallOptions {
  readonly stages: readonly StageEstimate[];
  readonly remainingMs: number;
}

/** Whether a call may start; a refused one was not run. */
export type AdmitCallDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Decides whether a call may start. */
export type AdmitCall = (opts: AdmitCallOptions) => AdmitCallDecision;

/** The decisions of an entry, passed in as functions. */
export interface EntryPolicy {
  readonly admitCall: AdmitCall;
  readonly chooseTarget: ChooseTarget;
  readonly decideRetry: DecideRetry;
}
