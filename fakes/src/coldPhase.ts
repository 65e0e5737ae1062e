import type { TimerService } from '@galenatiller/timer';

/** What a cold target does with more requests than it bears. */
export type ColdOverloadAction = 'crash' | 'fail' | 'refuse';

/** How a target behaves while cold. */
export interface ColdBehaviour {
  /** Time that the target stays cold. */
  readonly coldMs: number;
  /** Most requests at once that the cold target bears. */
  readonly coldLimit: number;
  readonly overload: ColdOverloadAction;
  /** Factor on the times of runs that start while it is cold. */
  readonly slowFactor?: number;
}

/** A target that is never cold. */
export const ALWAYS_WARM: ColdBehaviour = {
  coldMs: 0,
  coldLimit: 1,
  overload: 'crash',
};

/** Options of {@link ColdPhase.create}. */
export interface ColdPhaseOptions extends ColdBehaviour {
  readonly timer: TimerService;
}

/** Tells whether a target is cold, and counts the times it was overloaded then. */
export class ColdPhase {
  private coldUntilMs = 0;

  private overloadCount = 0;

  private constructor(private readonly opts: ColdPhaseOptions) {}

  /** Makes a phase that is over. */
  static create(opts: ColdPhaseOptions): ColdPhase {
    return new ColdPhase(opts);
  }

  /** Times that more requests came than the cold target bears. */
  get overloads(): number {
    return this.overloadCount;
  }

  /** Whether the target is cold now. */
  get isCold(): boolean {
    return this.opts.timer.nowMs() < this.coldUntilMs;
  }

  /** Factor on the times of a run that starts now. */
  get slowFactor(): number {
    return this.isCold ? (this.opts.slowFactor ?? 1) : 1;
  }

  /** Turns the target cold. */
  begin(): void {
    this.coldUntilMs = this.opts.timer.nowMs() + this.opts.coldMs;
  }

  /** What a target with this many requests does; nothing while it bears them. */
  checkOverload(inFlight: number): ColdOverloadAction | undefined {
    if (!this.isCold || inFlight <= this.opts.coldLimit) {
      return undefined;
    }
    this.overloadCount += 1;
    return this.opts.overload;
  }
}
