/** Failure share of a good version, and of one that is to be found bad. */
const GOOD_FAILURE_SHARE = 0.02;
const BAD_FAILURE_SHARE = 0.2;

/** Probability of calling a good version bad during one trial, and a bad one good. */
const FALSE_ALARM = 0.0001;
const MISS = 0.01;

/** Evidence of one outcome, as the logarithm of a likelihood ratio. */
const FAILURE_EVIDENCE = Math.log(BAD_FAILURE_SHARE / GOOD_FAILURE_SHARE);
const SUCCESS_EVIDENCE = Math.log((1 - BAD_FAILURE_SHARE) / (1 - GOOD_FAILURE_SHARE));

/** Bounds of Wald's sequential test. */
const BAD_BOUND = Math.log((1 - MISS) / FALSE_ALARM);
const GOOD_BOUND = Math.log(MISS / (1 - FALSE_ALARM));

/** A run counts as failed when it takes so many times as long as on the old version. */
const SLOW_FACTOR = 2.5;

/** Weight of one run in the smoothed run time of the old version. */
const SMOOTHING = 0.05;

/** Runs of the old version that its run time is learnt from. */
const LEARNING_RUNS = 20;

/** What a trial has shown of a version on a route. */
export type TrialVerdict = 'unproven' | 'proved' | 'bad';

/** One outcome of a run. */
export interface TrialRun {
  readonly version: 'old' | 'new';
  readonly failed: boolean;
  /** Time that the run took at its gate, per token where it generates. */
  readonly runMs: number;
}

/**
 * Sequential test of a new version against the old one on one route. Once proved, evidence
 * of badness is summed from zero (CUSUM), so that a version that turns bad later is found too.
 */
export class VersionTrial {
  private evidence = 0;

  private state: TrialVerdict = 'unproven';

  private newRuns = 0;

  private newFailures = 0;

  private oldRuns = 0;

  private oldRunMs = 0;

  private constructor() {}

  /** Makes a trial without evidence. */
  static create(): VersionTrial {
    return new VersionTrial();
  }

  /** What the trial has shown. */
  get verdict(): TrialVerdict {
    return this.state;
  }

  /** The evidence in words. */
  get summary(): string {
    return `${this.newFailures} of ${this.newRuns} runs failed or took over ${SLOW_FACTOR} times as long`;
  }

  /** Learns from a run; returns the verdict after it. */
  observe(run: TrialRun): TrialVerdict {
    if (run.version === 'old') {
      this.learnOld(run);
      return this.state;
    }
    if (this.state === 'bad') {
      return this.state;
    }
    const failed = run.failed || this.isSlow(run);
    this.newRuns += 1;
    this.newFailures += failed ? 1 : 0;
    this.evidence += failed ? FAILURE_EVIDENCE : SUCCESS_EVIDENCE;
    this.judge();
    return this.state;
  }

  private judge(): void {
    if (this.evidence >= BAD_BOUND) {
      this.state = 'bad';
    } else if (this.state === 'proved') {
      this.evidence = Math.max(0, this.evidence);
    } else if (this.evidence <= GOOD_BOUND) {
      this.state = 'proved';
      this.evidence = 0;
    }
  }

  private learnOld(run: TrialRun): void {
    if (run.failed) {
      return;
    }
    this.oldRuns += 1;
    const weight = Math.max(SMOOTHING, 1 / this.oldRuns);
    this.oldRunMs += (run.runMs - this.oldRunMs) * weight;
  }

  private isSlow(run: TrialRun): boolean {
    return this.oldRuns >= LEARNING_RUNS && run.runMs > this.oldRunMs * SLOW_FACTOR;
  }
}
