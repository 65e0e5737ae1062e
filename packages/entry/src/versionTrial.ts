import {
  addComparisons,
  halveRuns,
  type JudgementCaution,
  judgeWaits,
  NO_COMPARISON,
  toVersionRuns,
  type VersionRun,
} from '@galenatiller/target';
import type { VersionComparison } from '@galenatiller/types';

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

/** Runs of the old version needed before new runs are compared with it. */
const MIN_OLD_RUNS = 20;

/** A trial judges after each run for as long as the version runs, so chance must explain far less. */
const WAIT_CAUTION: JudgementCaution = { minLost: 4, lostDeviations: 4, startDeviations: 3 };

/** Runs of a version after which the older ones count half, so that a version that turns bad is found. */
const FORGET_AFTER_RUNS = 100;

/** More runs of the old version are kept, since it gets most of the traffic of an unproven one. */
const OLD_RUNS_FACTOR = 10;

/** Result of a trial of a version on a route. */
export type TrialVerdict = 'unproven' | 'proved' | 'bad';

/** One run observed by a trial. */
export interface TrialRun extends Pick<VersionRun, 'ending' | 'start'> {
  readonly version: 'old' | 'new';
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

  /** Runs of both versions, for the lost ones and the times to the first token. */
  private waits = NO_COMPARISON;

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
    return `${this.newFailures} of ${this.newRuns} runs failed or took over ${SLOW_FACTOR} times as long, ${describeWaits(this.waits)}`;
  }

  /** Adds a run and returns the updated verdict. */
  observe(run: TrialRun): TrialVerdict {
    this.observeWait(run);
    if (run.version === 'old') {
      this.observeOldRun(run);
      return this.currentVerdict;
    }
    if (this.currentVerdict === 'bad') {
      return this.currentVerdict;
    }
    if (run.ending !== 'lost') {
      const failed = run.ending === 'failed' || this.isSlow(run);
      this.newRuns += 1;
      this.newFailures += failed ? 1 : 0;
      this.evidence += failed ? FAILURE_EVIDENCE : SUCCESS_EVIDENCE;
    }
    this.updateVerdict();
    return this.currentVerdict;
  }

  private updateVerdict(): void {
    const waits =
      this.waits.oldRuns.runs >= MIN_OLD_RUNS ? judgeWaits(this.waits, WAIT_CAUTION) : 'good';
    if (this.evidence >= BAD_BOUND || waits === 'bad') {
      this.currentVerdict = 'bad';
    } else if (this.currentVerdict === 'proved') {
      this.evidence = Math.max(0, this.evidence);
    } else if (this.evidence <= GOOD_BOUND) {
      this.currentVerdict = waits === 'good' ? 'proved' : 'unproven';
      this.evidence = waits === 'good' ? 0 : GOOD_BOUND;
    }
  }

  private observeWait({ version, ending, start }: TrialRun): void {
    const runs = toVersionRuns({ ending, start, paceMs: undefined });
    const isNew = version === 'new';
    const added = isNew ? { newRuns: runs } : { oldRuns: runs };
    const { newRuns, oldRuns } = addComparisons(this.waits, { ...NO_COMPARISON, ...added });
    this.waits = {
      newRuns: newRuns.runs > FORGET_AFTER_RUNS ? halveRuns(newRuns) : newRuns,
      oldRuns: oldRuns.runs > FORGET_AFTER_RUNS * OLD_RUNS_FACTOR ? halveRuns(oldRuns) : oldRuns,
    };
  }

  private observeOldRun(run: TrialRun): void {
    if (run.ending !== 'good') {
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

function describeWaits({ newRuns, oldRuns }: VersionComparison): string {
  const [newText, oldText] = [newRuns, oldRuns].map(({ runs, lost = 0, starts }) => {
    const startMs = Math.round((starts?.sumMs ?? 0) / Math.max(1, starts?.count ?? 0));
    return `${Math.round((100 * lost) / Math.max(1, runs))} % lost, start ${startMs} ms`;
  });
  return `${newText} against ${oldText}`;
}
