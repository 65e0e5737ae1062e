import type { Call, WritePart } from '@galenatiller/caller';
import type { CrashHistory } from '@galenatiller/engine';
import type { Shutdown } from '@galenatiller/node';
import type { RecordOptions } from '@galenatiller/timeline';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';
import type { Configuration, RouteRule, StageRule } from '@galenatiller/types';

import type { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy } from './policy.js';
import type { RetryBudget } from './retryBudget.js';
import type { VersionMoves } from './versionMoves.js';

/** State and dependencies shared by all stages of a call. */
export interface CallContext {
  readonly call: Call;
  readonly route: RouteRule;
  /** Stages of the route, in order. */
  readonly stages: readonly StageRule[];
  readonly configuration: Configuration;
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  /** Aborts at the deadline, when the caller disconnects, or when a shutdown ends the work. */
  readonly signal: AbortSignal;
  readonly directory: GateDirectory;
  readonly policy: EntryPolicy;
  readonly timer: TimerService;
  readonly record: (event: RecordOptions) => void;
  readonly crashes: CrashHistory;
  readonly retryBudget: RetryBudget;
  readonly stageDurations: SmoothedDurations;
  readonly versions: VersionMoves;
  readonly random: () => number;
  readonly ownAvailabilityZone: string;
  readonly writePart: WritePart;
  readonly shutdown: Shutdown;
}

/** The reason for which the signal of a call has aborted. */
export type AbortCause = 'cancelled' | 'deadline-exceeded' | 'stop-limit-exceeded';

/** Finds the reason for which the signal of a call has aborted. */
export function findAbortCause({ call, shutdown, timer, deadlineAtMs }: CallContext): AbortCause {
  if (call.signal.aborted) {
    return 'cancelled';
  }
  return shutdown.isWorkOver && timer.nowMs() < deadlineAtMs
    ? 'stop-limit-exceeded'
    : 'deadline-exceeded';
}

/** Time that the call has left: until its deadline or until a shutdown ends the work. */
export function getRemainingMs({ shutdown, timer, deadlineAtMs }: CallContext): number {
  return Math.min(deadlineAtMs - timer.nowMs(), shutdown.remainingMs);
}
