/**
 * Limits the concurrent runs on a target that may be in cold start.
 *
 * The limit starts at what a cold target can handle. It is raised only by evidence: runs that were
 * started since the target was last reset to cold, while at least half of the limit was in use, and
 * that answered in time. Restarts, consecutive failures and a jump in latency reset it. A limit
 * above the cold one also needs recent confirmation that the target has not restarted unnoticed.
 */
import type { TimerService } from '@galenatiller/timer';
import type { TargetState } from '@galenatiller/types';

import type { EndedRun, RunTicket, ConcurrencyLimit } from './concurrencyLimit.js';

/** Options of {@link ColdStartLimit.create}. */
export interface ColdStartLimitOptions {
  readonly timer: TimerService;
  /** Maximum number of concurrent runs on a warm target. */
  readonly inFlightLimit: number;
  /** Maximum number of concurrent runs on a cold target. */
  readonly coldInFlightLimit: number;
  /** Minimum time that a target is considered cold after a reset. */
  readonly warmUpMs?: number;
  /** Time to the first part up to which a run always counts as fast. */
  readonly expectedFirstPartMs?: number;
  /** Age up to which the identity of an idle target is trusted; every restart takes longer. */
  readonly identityTtlMs?: number;
  /** Called when the state changes. */
  readonly onStateChange?: (state: TargetState) => void;
}

const DEFAULTS = { warmUpMs: 2_000, expectedFirstPartMs: 370, identityTtlMs: 300 };

/** Factor that raises the limit after as many good runs as the limit. */
const GROWTH_FACTOR = 1.5;

/** Multiple of the typical latency that counts as a jump. */
const LATENCY_JUMP_FACTOR = 4;

/** Consecutive slow runs that count as a jump in latency. */
const SLOW_RUNS_UNTIL_COLD = 4;

/** Consecutive failures after which a target is considered cold. */
const FAILURES_UNTIL_COLD = 3;

/** Consecutive failed connections after which a target is considered down. */
const UNREACHABLE_UNTIL_DOWN = 2;

/** Concurrent runs that probe whether a target that is down has returned. */
const PROBE_LIMIT = 1;

/** Weight of one run in the typical latency. */
const LATENCY_WEIGHT = 0.1;

/** Weight of one run in the latency while cold. */
const COLD_LATENCY_WEIGHT = 0.3;

/** Latency at light load, in multiples of the typical one, up to which a target counts as warm. */
const MAX_WARM_LATENCY_FACTOR = 2;

/** Latency that the host may add on top of that. */
const WARM_LATENCY_SLACK_MS = 10;

/** Factor that extends the warm-up time when the limit was raised too early. */
const WARM_UP_GROWTH_FACTOR = 3;

/** Maximum warm-up time, in multiples of the one in the options. */
const MAX_WARM_UP_FACTOR = 16;

/** Number of warm-up times after which a slower latency is accepted as the typical one. */
const NEW_LATENCY_WARM_UPS = 4;

/** A concurrency limit that is raised by evidence. */
export class ColdStartLimit implements ConcurrencyLimit {
  private readonly opts: ColdStartLimitOptions & typeof DEFAULTS;

  private coldStarts = 0;

  private inFlight = 0;

  /** Start of the current period without idleness. */
  private busySinceMs = 0;

  private grownLimit: number;

  /** Whether the target has proved warm since the last reset. */
  private isWarm = false;

  /** Good runs since the last reset. */
  private goodRuns = 0;

  /** Good runs since the limit was last raised, while at least half of it was in use. */
  private runsAtLimit = 0;

  private failuresInRow = 0;

  private slowInRow = 0;

  private unreachableInRow = 0;

  private warmUpMs: number;

  private coldSinceMs: number;

  /** When the limit was first raised since the last reset. */
  private firstRaisedAtMs: number | undefined;

  /** Undefined until the target has reported it. */
  private startId: string | undefined;

  /** Undefined while a restart is suspected. */
  private identifiedAtMs: number | undefined;

  /** Typical time to the first part on a warm target; 0 until known. */
  private typicalFirstPartMs = 0;

  /** Smoothed time to the first part since the last reset; 0 until known. */
  private coldFirstPartMs = 0;

  private reportedState: TargetState = 'cold';

  private constructor(opts: ColdStartLimitOptions) {
    this.opts = { ...DEFAULTS, ...opts };
    this.grownLimit = opts.coldInFlightLimit;
    this.warmUpMs = this.opts.warmUpMs;
    this.coldSinceMs = opts.timer.nowMs();
  }

  /** Creates the limit of an unknown target, which is considered cold. */
  static create(opts: ColdStartLimitOptions): ColdStartLimit {
    return new ColdStartLimit(opts);
  }

  /** Maximum number of concurrent runs now. */
  readonly limit = (): number => {
    const { inFlightLimit, coldInFlightLimit } = this.opts;
    if (this.isDown()) {
      return PROBE_LIMIT;
    }
    const allowed = this.isIdentified() ? this.grownLimit : coldInFlightLimit;
    return Math.min(allowed, inFlightLimit);
  };

  /** State of the target. */
  readonly state = (): TargetState => {
    if (this.isDown()) {
      return 'down';
    }
    return this.isWarm ? 'ready' : 'cold';
  };

  /** Records the start of a run. */
  readonly onRunStarted = (): RunTicket => {
    if (this.inFlight === 0) {
      this.busySinceMs = this.opts.timer.nowMs();
    }
    this.inFlight += 1;
    return { coldStartNumber: this.coldStarts, inFlight: this.inFlight };
  };

  /**
   * Handles the identity that the target reported; a changed identity means a restart.
   * Runs from before the first identity are no evidence, as the target may have restarted since.
   */
  readonly onStartId = (startId: string): void => {
    if (this.startId !== startId) {
      this.resetToCold();
    }
    this.startId = startId;
    this.identifiedAtMs = this.opts.timer.nowMs();
    this.unreachableInRow = 0;
    this.reportState();
  };

  /** Handles the end of a run. */
  readonly onRunEnded = (ended: EndedRun): void => {
    this.inFlight -= 1;
    switch (ended.how) {
      case 'ok':
        this.onSuccess(ended);
        break;
      case 'failed':
        this.onFailure();
        break;
      case 'broken':
        this.onFailure();
        this.suspectRestart();
        break;
      case 'unreachable':
        this.unreachableInRow += 1;
        this.suspectRestart();
        break;
      case 'cold':
        this.resetToCold();
        break;
      default:
    }
    this.reportState();
  };

  private onSuccess({ ticket, firstPartMs }: EndedRun): void {
    this.failuresInRow = 0;
    if (ticket.coldStartNumber !== this.coldStarts) {
      return;
    }
    if (!this.startId || this.identifiedAtMs !== undefined) {
      // The same process has started and ended the run.
      this.identifiedAtMs = this.opts.timer.nowMs();
    }
    if (firstPartMs > this.maxGoodFirstPartMs()) {
      this.onSlowRun(firstPartMs);
    } else {
      this.onFastRun({ inFlight: ticket.inFlight, firstPartMs });
    }
  }

  private onFastRun({
    inFlight,
    firstPartMs,
  }: Pick<RunTicket & EndedRun, 'firstPartMs' | 'inFlight'>): void {
    this.slowInRow = 0;
    this.goodRuns += 1;
    this.runsAtLimit += inFlight * 2 >= this.grownLimit ? 1 : 0;
    this.coldFirstPartMs = smooth(this.coldFirstPartMs, firstPartMs, COLD_LATENCY_WEIGHT);
    this.isWarm ||= this.hasProvedWarm();
    if (!this.isWarm) {
      return;
    }
    this.typicalFirstPartMs = smooth(this.typicalFirstPartMs, firstPartMs, LATENCY_WEIGHT);
    if (this.runsAtLimit >= this.grownLimit) {
      this.raiseLimit();
    }
  }

  /** Whether enough runs, over enough time, were as fast as on a warm target. */
  private hasProvedWarm(): boolean {
    if (this.goodRuns < this.opts.coldInFlightLimit || !this.hasWarmedUp(1)) {
      return false;
    }
    const isFast =
      this.typicalFirstPartMs === 0 ||
      this.coldFirstPartMs <=
        this.typicalFirstPartMs * MAX_WARM_LATENCY_FACTOR + WARM_LATENCY_SLACK_MS;
    return isFast || this.hasWarmedUp(NEW_LATENCY_WARM_UPS);
  }

  private onSlowRun(firstPartMs: number): void {
    this.slowInRow += 1;
    if (this.isWarm && this.slowInRow >= SLOW_RUNS_UNTIL_COLD) {
      this.resetToCold();
    } else if (!this.isWarm && this.hasWarmedUp(NEW_LATENCY_WARM_UPS)) {
      this.typicalFirstPartMs = firstPartMs;
    }
  }

  /** Distrusts the target until it reports its identity; one without identity is reset to cold. */
  private suspectRestart(): void {
    this.identifiedAtMs = undefined;
    if (!this.startId) {
      this.resetToCold();
    }
  }

  private onFailure(): void {
    this.failuresInRow += 1;
    if (this.failuresInRow >= FAILURES_UNTIL_COLD) {
      this.resetToCold();
    }
  }

  private raiseLimit(): void {
    this.runsAtLimit = 0;
    if (this.isAtMaximum()) {
      return;
    }
    const raisedLimit = Math.ceil(this.grownLimit * GROWTH_FACTOR);
    this.grownLimit = Math.min(raisedLimit, this.opts.inFlightLimit);
    this.firstRaisedAtMs ??= this.opts.timer.nowMs();
  }

  /**
   * Resets to the cold limit. When that happens soon after the limit was first raised, it was
   * raised too early, so the warm-up time is extended.
   */
  private resetToCold(): void {
    const nowMs = this.opts.timer.nowMs();
    if (this.firstRaisedAtMs !== undefined && nowMs - this.firstRaisedAtMs <= this.warmUpMs) {
      const maxWarmUpMs = this.opts.warmUpMs * MAX_WARM_UP_FACTOR;
      this.warmUpMs = Math.min(this.warmUpMs * WARM_UP_GROWTH_FACTOR, maxWarmUpMs);
    }
    this.coldStarts += 1;
    this.grownLimit = this.opts.coldInFlightLimit;
    this.isWarm = false;
    this.coldFirstPartMs = 0;
    this.goodRuns = 0;
    this.runsAtLimit = 0;
    this.failuresInRow = 0;
    this.slowInRow = 0;
    this.firstRaisedAtMs = undefined;
    this.coldSinceMs = nowMs;
  }

  private maxGoodFirstPartMs(): number {
    return Math.max(this.typicalFirstPartMs * LATENCY_JUMP_FACTOR, this.opts.expectedFirstPartMs);
  }

  private hasWarmedUp(warmUps: number): boolean {
    return this.opts.timer.nowMs() - this.coldSinceMs >= this.warmUpMs * warmUps;
  }

  /** Whether the identity is known: a busy target can't have restarted without breaking a run. */
  private isIdentified(): boolean {
    const { timer, identityTtlMs } = this.opts;
    if (this.identifiedAtMs === undefined) {
      return false;
    }
    const hasBeenBusy = this.inFlight > 0 && this.busySinceMs <= this.identifiedAtMs;
    return hasBeenBusy || timer.nowMs() - this.identifiedAtMs <= identityTtlMs;
  }

  private isDown(): boolean {
    return this.unreachableInRow >= UNREACHABLE_UNTIL_DOWN;
  }

  private isAtMaximum(): boolean {
    return this.grownLimit >= this.opts.inFlightLimit;
  }

  private reportState(): void {
    const state = this.state();
    if (state !== this.reportedState) {
      this.reportedState = state;
      this.opts.onStateChange?.(state);
    }
  }
}

function smooth(beforeMs: number, lastMs: number, weight: number): number {
  return beforeMs === 0 ? lastMs : beforeMs + (lastMs - beforeMs) * weight;
}
