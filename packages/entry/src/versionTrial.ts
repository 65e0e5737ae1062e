/** Failure rates of a good version and of one that the test must detect as bad. */
const GOOD_FAILURE_SHARE = 0.02;
const BAD_FAILURE_SHARE = 0.2;

/** Probability that one trial judges a good version bad, and a bad one good. */
const FALSE_ALARM_PROBABILITY = 0.0001;
const MISS_PROBABILITY = 0.01;

/** Log-likelihood ratio of one failed and of one successful run. */
const FAILURE_EVIDENCE = Math.log(BAD_FAILURE_SHARE / GOOD_FAILURE_SHARE);
const SUCCESS_EVIDENCE = Math.log((1 - BAD_FAILURE_SHARE) / (1 - GOOD_FAILURE_SHARE));

/** Decision thresholds of Wald's sequential probability ratio test. */
const BAD_BOUND = Math.log((1 - MISS_PROBABILITY) / FALSE_ALARM_PROBABILITY);
const GOOD_BOUND = Math.log(MISS_PROBABILITY / (1 - FALSE_ALARM_PROBABILITY));

/** A run counts as failed when it takes this many times as long as on the old version. */
const SLOW_FACTOR = 2.5;

/** Weight of a new sample in the moving average of the old version's run time. */
const SMOOTHING = 0.05;

/** Runs of the old version needed before new runs are compared with its run time. */
const MIN_OLD_RUNS = 20;

/** Result of a trial of a version on a route. */
export type TrialVerdict = 'unproven' | 'proved' | 'bad';

/** One run observed by a trial. */
export interface TrialRun {
  readonly version: 'old' | 'new';
  readonly failed: boolean;
  /** Run time measured at the gate; per token for generations. */
  readonly runMs: number;
}

/**
 * Sequential test of a new version against the old one on one route. Once the version is proved,
 * the evidence against it accumulates from zero (CUSUM), so that a later regression is found too.
 */
export class VersionTrial {
  private evidence = 0;

  private currentVerdict: TrialVerdict = 'unproven';

  private newRuns = 0;

  private newFailures = 0;

  private oldRuns = 0;

  private meanOldRunMs = 0;

  private constructor() {}

  /** Creates a trial without evidence. */
  static create(): VersionTrial {
    return new VersionTrial();
  }

  /** Current result of the trial. */
  get verdict(): TrialVerdict {
    return this.currentVerdict;
  }

  /** Describes the evidence for people to read. */
  get summary(): string {
    return `${this.newFailures} of ${this.newRuns} runs failed or took over ${SLOW_FACTOR} times as long`;
  }

  /** Adds a run and returns the updated verdict. */
  observe(run: TrialRun): TrialVerdict {
    if (run.version === 'old') {
      this.observeOldRun(run);
      return this.currentVerdict;
    }
    if (this.currentVerdict === 'bad') {
      return this.currentVerdict;
    }
    const failed = run.failed || this.isSlow(run);
    this.newRuns += 1;
    this.newFailures += failed ? 1 : 0;
    this.evidence += failed ? FAILURE_EVIDENCE : SUCCESS_EVIDENCE;
    this.updateVerdict();
    return this.currentVerdict;
  }

  private updateVerdict(): void {
    if (this.evidence >= BAD_BOUND) {
      this.currentVerdict = 'bad';
    } else if (this.currentVerdict === 'proved') {
      this.evidence = Math.max(0, this.evidence);
    } else if (this.evidence <= GOOD_BOUND) {
      this.currentVerdict = 'proved';
      this.evidence = 0;
    }
  }

  private observeOldRun(run: TrialRun): void {
    if (run.failed) {
      return;
    }
    this.oldRuns += 1;
    const weight = Math.max(SMOOTHING, 1 / this.oldRuns);
    this.meanOldRunMs += (run.runMs - this.meanOldRunMs) * weight;
  }

  private isSlow(run: TrialRun): boolean {
    return this.oldRuns >= MIN_OLD_RUNS && run.runMs > this.meanOldRunMs * SLOW_FACTOR;
  }
}
