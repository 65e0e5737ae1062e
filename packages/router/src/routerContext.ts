import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import type {
  ColdRateLimiter,
  RetryBudget,
  TargetDirectory,
  TargetHealth,
} from '@galenatiller/target';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';

import type { CallCounter } from './callCounter.js';
import type { TargetClient } from './ports.js';
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
  readonly coldShare: ColdRateLimiter;
  /** Time from a send to the start of its answer, by service. */
  readonly responseTimes: SmoothedDurations;
  readonly repeats: RetryBudget;
  readonly inFlight: CallCounter;
  readonly targetClient: TargetClient;
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
