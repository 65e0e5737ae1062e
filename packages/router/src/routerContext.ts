import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import type { ColdShare, RepeatBudget, TargetDirectory, TargetHealth } from '@galenatiller/target';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';

import type { CallCounter } from './callCounter.js';
import type { TargetCalls } from './ports.js';
import type { RouteTable } from './routeTable.js';
import type { SubmitPiece } from './runStages.js';

/** What the task of a call works with. */
export interface RouterContext {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly ownZone: string;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly health: TargetHealth;
  readonly coldShare: ColdShare;
  /** Time from a send to the start of its answer, by service. */
  readonly answerTimes: SmoothedDurations;
  readonly repeats: RepeatBudget;
  readonly inFlight: CallCounter;
  readonly calls: TargetCalls;
  readonly submitPiece: SubmitPiece;
  /** Frees results of stages, by their handles. */
  readonly freeResults: (handles: readonly string[]) => void;
  /** Age of the proof that the configuration is the newest one. */
  readonly evidenceAgeMs: () => number;
  /** A key that was taken away may still be known for this long. */
  readonly keyAgeLimitMs: number;
  readonly hash: (text: string) => number;
  /** Uniform number from 0 to 1. */
  readonly random: () => number;
}
