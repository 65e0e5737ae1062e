import type { BodyMemory } from '@galenatiller/http';
import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import type {
  ColdRateLimiter,
  CrashSuspects,
  RetryBudget,
  TargetDirectory,
  TargetHealth,
  TargetLoads,
  TargetNotices,
} from '@galenatiller/target';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';

import type { CallAdmission, LoopLag } from './admission/index.js';
import type { CallCounter } from './callCounter.js';
import type { CrashDetector } from './crashDetector.js';
import type { PermitTarget } from './permits.js';
import type { TargetClient } from './ports.js';
import type { Rollouts } from './rollouts.js';
import type { RouterStop } from './routerStop.js';
import type { RouteTable } from './routeTable.js';
import type { SubmitPiece } from './runStages.js';
import type { SenderChecks } from './senderChecks.js';
import type { StageTimes } from './stageTimes.js';

/** State and functions that the task of a call uses. */
export interface RouterContext {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  /** How late timers of this process fire. */
  readonly loopLag: Pick<LoopLag, 'meanMs'>;
  readonly ownZone: string;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly health: TargetHealth;
  readonly notices: TargetNotices;
  readonly loads: TargetLoads;
  readonly coldRateLimiter: ColdRateLimiter;
  /** Time from a send to the start of its response, by service. */
  readonly responseTimes: SmoothedDurations;
  /** Time from a send to the end of its response, by route. */
  readonly wholeResponseTimes: SmoothedDurations;
  /** Time from the submission of a piece to its result, by service. */
  readonly pieceTimes: SmoothedDurations;
  readonly stageTimes: StageTimes;
  readonly retryBudget: RetryBudget;
  /** Calls in flight, by target. */
  readonly inFlight: CallCounter;
  /** Calls that wait for a target, by service. */
  readonly waiting: CallCounter;
  /** Memory for responses of targets that are no streams. */
  readonly bodyMemory: BodyMemory;
  readonly crashDetector: CrashDetector;
  readonly senderChecks: SenderChecks;
  readonly crashSuspects: CrashSuspects;
  readonly rollouts: Rollouts;
  readonly stop: RouterStop;
  /** Counts a request of an organisation that a target has begun to run. */
  readonly countRequest: (organisation: string) => void;
  readonly admission: CallAdmission;
  readonly targetClient: TargetClient;
  /** Obtains a permit for one send to a target beyond the equal share of this node. */
  readonly obtainPermit: (target: PermitTarget) => Promise<boolean>;
  readonly submitPiece: SubmitPiece;
  /** Frees stage results, by their handles. */
  readonly freeResults: (handles: readonly string[]) => void;
  /** Time since the store last proved that the configuration is the newest one. */
  readonly evidenceAgeMs: () => number;
  /** Longest time that a revoked key may still be accepted. */
  readonly keyAgeLimitMs: number;
  readonly hash: (text: string) => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}
