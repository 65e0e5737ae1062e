/**
 * Limits the load of a target that may be in cold start.
 *
 * The limit starts at what a cold target bears and grows only by evidence: runs that were started
 * since the last cold turn, while at least half of the limit was in use, and answered in time.
 * Restarts, failures in a row and a jump of latency take it back. A limit above the cold one also
 * needs a fresh sign that the target has not restarted unseen.
 */
import type { TimerService } from '@galenatiller/timer';
import type { TargetState } from '@galenatiller/types';

import type { EndedRun, RunTicket, ConcurrencyLimit } from './concurrencyLimit.js';

/** Options of {@link ColdStartLimit.create}. */
export interface ColdStartLimitOptions {
  readonly timer: TimerService;
  /** Most runs at once on a warm target. */
  readonly inFlightLimit: number;
  /** Most runs at once on a cold target. */
  readonly coldInFlightLimit: number;
  /** Least time that a target is taken for cold after a cold turn. */
  readonly warmUpMs?: number;
  /** Time to the first part that is always good enough. */
  readonly expectedFirstPartMs?: number;
  /** Age up to which the identity of an idle target counts as known; no restart is faster. */
  readonly identityTtlMs?: number;
  /** Told when the state changes. */
  readonly onState?: (state: TargetState) => void;
}

const DEFAULTS = { warmUpMs: 2_000, expectedFirstPartMs: 370, identityTtlMs: 300 };

/** Growth of the limit after as many good runs as the limit. */
const GROWTH_FACTOR = 1.5;

/** Latency over the usual one that counts as a jump. */
const JUMP_FACTOR = 4;

/** Slow runs in a row that are a jump of latency. */
const SLOW_RUNS = 4;

/** Failures in a row that make a target cold. */
const FAILURES_IN_ROW = 3;

/** Failed connects in a row that make a target down. */
const UNREACHABLE_IN_ROW = 2;

/** Runs at once that find out whether a target that is down is back. */
const PROBE_LIMIT = 1;

/** Weight of one run in the usual latency. */
const LATENCY_WEIGHT = 0.1;

/** Weight of one run in the latency while cold. */
const COLD_LATENCY_WEIGHT = 0.3;

/** Latency at light load, in multiples of the usual one, up to which a target counts as warm. */
const WARM_FACTOR = 2;

/** Latency on top of that which the machine may add, in milliseconds. */
const WARM_SLACK_MS = 10;

/** Growth of the warm-up time when a ramp began too early. */
const WARM_UP_GROWTH = 3;

/** Longest warm-up time, in multiples of the one in the options. */
const MAX_WARM_UPS = 16;

/** Warm-up times after which a slower latency is taken for the usual one. */
const NEW_LATENCY_WARM_UPS = 4;

/** A limit of load that grows by evidence. */
export class ColdStartLimit implements ConcurrencyLimit {
  private readonly opts: ColdStartLimitOptions & typeof DEFAULTS;

  private turn = 0;

  private inFlight = 0;

  /** Since when the target has not been idle. */
  private busySinceMs = 0;

  private grownLimit: number;

  /** Whether the target has shown that it is warm since the last cold turn. */
  private isWarm = false;

  /** Good runs since the last cold turn. */
  private goodRuns = 0;

  /** Good runs since the limit last grew, while at least half of it was in use. */
  private runsAtLimit = 0;

  private failuresInRow = 0;

  private slowInRow = 0;

  private unreachableInRow = 0;

  private warmUpMs: number;

  private coldSinceMs: number;

  /** When the limit first grew since the last cold turn. */
  private rampSinceMs: number | undefined;

  /** Missing until the target has told it. */
  private startId: string | undefined;

  /** Missing while a restart is suspected. */
  private identifiedAtMs: number | undefined;

  /** Usual time to the first part of a warm target; 0 until known. */
  private usualFirstPartMs = 0;

  /** Smoothed time to the first part since the last cold turn; 0 until known. */
  private coldFirstPartMs = 0;

  private toldState: TargetState = 'cold';

  private constructor(opts: ColdStartLimitOptions) {
    this.opts = { ...DEFAULTS, ...opts };
    this.grownLimit = opts.coldInFlightLimit;
    this.warmUpMs = this.opts.warmUpMs;
    this.coldSinceMs = opts.timer.nowMs();
  }

  /** Makes the limit of a target that nothing is known of, so that is taken for cold. */
  static create(opts: ColdStartLimitOptions): ColdStartLimit {
    return new ColdStartLimit(opts);
  }

  /** Most runs at once now. */
  readonly limit = (): number => {
    const { inFlightLimit, coldInFlightLimit } = this.opts;
    if (this.isDown()) {
      return PROBE_LIMIT;
    }
    const allowed = this.isIdentified() ? this.grownLimit : coldInFlightLimit;
    return Math.min(allowed, inFlightLimit);
  };

  /** Whether the target takes work. */
  readonly state = (): TargetState => {
    if (this.isDown()) {
      return 'down';
    }
    return this.isWarm ? 'ready' : 'cold';
  };

  /** Counts a run that starts. */
  readonly onRunStarted = (): RunTicket => {
    if (this.inFlight === 0) {
      this.busySinceMs = this.opts.timer.nowMs();
    }
    this.inFlight += 1;
    return { coldStartNumber: this.turn, inFlight: this.inFlight };
  };

  /**
   * Takes in the identity that the target told; another one than before is a restart.
   * Runs from before the first one prove nothing, as a restart may have come between.
   */
  readonly onStartId = (startId: string): void => {
    if (this.startId !== startId) {
      this.turnCold();
    }
    this.startId = startId;
    this.identifiedAtMs = this.opts.timer.nowMs();
    this.unreachableInRow = 0;
    this.tellState();
  };

  /** Learns from the end of a run. */
  readonly onRunEnded = (ended: EndedRun): void => {
    this.inFlight -= 1;
    switch (ended.how) {
      case 'ok':
        this.onOk(ended);
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
        this.turnCold();
        break;
      default:
    }
    this.tellState();
  };

  private onOk({ ticket, firstPartMs }: EndedRun): void {
    this.failuresInRow = 0;
    if (ticket.coldStartNumber !== this.turn) {
      return;
    }
    if (!this.startId || this.identifiedAtMs !== undefined) {
      // The process that began the run has ended it.
      this.identifiedAtMs = this.opts.timer.nowMs();
    }
    if (firstPartMs > this.slowestGoodMs()) {
      this.onSlow(firstPartMs);
    } else {
      this.onGood({ inFlight: ticket.inFlight, firstPartMs });
    }
  }

  private onGood({
    inFlight,
    firstPartMs,
  }: Pick<RunTicket & EndedRun, 'firstPartMs' | 'inFlight'>): void {
    this.slowInRow = 0;
    this.goodRuns += 1;
    this.runsAtLimit += inFlight * 2 >= this.grownLimit ? 1 : 0;
    this.coldFirstPartMs = smooth(this.coldFirstPartMs, firstPartMs, COLD_LATENCY_WEIGHT);
    this.isWarm ||= this.showsWarmth();
    if (!this.isWarm) {
      return;
    }
    this.usualFirstPartMs = smooth(this.usualFirstPartMs, firstPartMs, LATENCY_WEIGHT);
    if (this.runsAtLimit >= this.grownLimit) {
      this.grow();
    }
  }

  /** Whether enough runs, for long enough, were as fast as a warm target answers. */
  private showsWarmth(): boolean {
    if (this.goodRuns < this.opts.coldInFlightLimit || !this.hasWarmedUp(1)) {
      return false;
    }
    const isFast =
      this.usualFirstPartMs === 0 ||
      this.coldFirstPartMs <= this.usualFirstPartMs * WARM_FACTOR + WARM_SLACK_MS;
    return isFast || this.hasWarmedUp(NEW_LATENCY_WARM_UPS);
  }

  private onSlow(firstPartMs: number): void {
    this.slowInRow += 1;
    if (this.isWarm && this.slowInRow >= SLOW_RUNS) {
      this.turnCold();
    } else if (!this.isWarm && this.hasWarmedUp(NEW_LATENCY_WARM_UPS)) {
      this.usualFirstPartMs = firstPartMs;
    }
  }

  /** Waits for the identity of the target; one that has none may always have restarted. */
  private suspectRestart(): void {
    this.identifiedAtMs = undefined;
    if (!this.startId) {
      this.turnCold();
    }
  }

  private onFailure(): void {
    this.failuresInRow += 1;
    if (this.failuresInRow >= FAILURES_IN_ROW) {
      this.turnCold();
    }
  }

  private grow(): void {
    this.runsAtLimit = 0;
    if (this.isFull()) {
      return;
    }
    const grown = Math.ceil(this.grownLimit * GROWTH_FACTOR);
    this.grownLimit = Math.min(grown, this.opts.inFlightLimit);
    this.rampSinceMs ??= this.opts.timer.nowMs();
  }

  /** Goes back to the cold limit; a turn soon after the ramp began says that it began too early. */
  private turnCold(): void {
    const nowMs = this.opts.timer.nowMs();
    if (this.rampSinceMs !== undefined && nowMs - this.rampSinceMs <= this.warmUpMs) {
      const longestMs = this.opts.warmUpMs * MAX_WARM_UPS;
      this.warmUpMs = Math.min(this.warmUpMs * WARM_UP_GROWTH, longestMs);
    }
    this.turn += 1;
    this.grownLimit = this.opts.coldInFlightLimit;
    this.isWarm = false;
    this.coldFirstPartMs = 0;
    this.goodRuns = 0;
    this.runsAtLimit = 0;
    this.failuresInRow = 0;
    this.slowInRow = 0;
    this.rampSinceMs = undefined;
    this.coldSinceMs = nowMs;
  }

  private slowestGoodMs(): number {
    return Math.max(this.usualFirstPartMs * JUMP_FACTOR, this.opts.expectedFirstPartMs);
  }

  private hasWarmedUp(warmUps: number): boolean {
    return this.opts.timer.nowMs() - this.coldSinceMs >= this.warmUpMs * warmUps;
  }

  /** A restart would have broken a run, so the identity of a busy target is known. */
  private isIdentified(): boolean {
    const { timer, identityTtlMs } = this.opts;
    if (this.identifiedAtMs === undefined) {
      return false;
    }
    const hasBeenBusy = this.inFlight > 0 && this.busySinceMs <= this.identifiedAtMs;
    return hasBeenBusy || timer.nowMs() - this.identifiedAtMs <= identityTtlMs;
  }

  private isDown(): boolean {
    return this.unreachableInRow >= UNREACHABLE_IN_ROW;
  }

  private isFull(): boolean {
    return this.grownLimit >= this.opts.inFlightLimit;
  }

  private tellState(): void {
    const state = this.state();
    if (state !== this.toldState) {
      this.toldState = state;
      this.opts.onState?.(state);
    }
  }
}

function smooth(beforeMs: number, lastMs: number, weight: number): number {
  return beforeMs === 0 ? lastMs : beforeMs + (lastMs - beforeMs) * weight;
}
