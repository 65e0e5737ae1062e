import type { Call, WritePart } from '@galenatiller/caller';
import type { CrashHistory } from '@galenatiller/engine';
import type { RecordOptions } from '@galenatiller/timeline';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';
import type { Configuration, RouteRule } from '@galenatiller/types';

import type { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy } from './policy.js';
import type { RetryBudget } from './retryBudget.js';
import type { VersionMoves } from './versionMoves.js';

/** State and dependencies shared by all stages of a call. */
export interface CallContext {
  readonly call: Call;
  readonly route: RouteRule;
  readonly configuration: Configuration;
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  /** Aborts at the deadline or when the caller disconnects. */
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
}
