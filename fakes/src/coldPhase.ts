import type { TimerService } from '@galenatiller/timer';

/** What a cold target does with requests above its limit. */
export type ColdOverloadAction = 'crash' | 'fail' | 'refuse';

/** How a target behaves while it is cold. */
export interface ColdBehaviour {
  /** Time that the target stays cold. */
  readonly coldMs: number;
  /** Maximum number of concurrent requests while the target is cold. */
  readonly coldLimit: number;
  readonly overload: ColdOverloadAction;
  /** Factor by which runs are slowed down that start while the target is cold. */
  readonly slowFactor?: number;
}

/** Behaviour of a target that is never cold. */
export const ALWAYS_WARM: ColdBehaviour = {
  coldMs: 0,
  coldLimit: 1,
  overload: 'crash',
};

/** Options of {@link ColdPhase.create}. */
export interface ColdPhaseOptions extends ColdBehaviour {
  readonly timer: TimerService;
}

/** Tracks whether a target is cold and counts its overloads while cold. */
export class ColdPhase {
  private coldUntilMs = 0;

  private overloadCount = 0;

  private constructor(private readonly opts: ColdPhaseOptions) {}

  /** Creates the phase of a target that is not cold. */
  static create(opts: ColdPhaseOptions): ColdPhase {
    return new ColdPhase(opts);
  }

  /** Number of requests that exceeded the limit of the cold target. */
  get overloads(): number {
    return this.overloadCount;
  }

  /** Whether the target is cold. */
  get isCold(): boolean {
    return this.opts.timer.nowMs() < this.coldUntilMs;
  }

  /** Factor by which a run that starts now is slowed down. */
  get slowFactor(): number {
    return this.isCold ? (this.opts.slowFactor ?? 1) : 1;
  }

  /** Makes the target cold for the configured time. */
  begin(): void {
    this.coldUntilMs = this.opts.timer.nowMs() + this.opts.coldMs;
  }

  /** Counts an overload and returns what the target does; undefined while there is no overload. */
  checkOverload(inFlight: number): ColdOverloadAction | undefined {
    if (!this.isCold || inFlight <= this.opts.coldLimit) {
      return undefined;
    }
    this.overloadCount += 1;
    return this.opts.overload;
  }
}
