import type { TimerService } from '@galenatiller/timer';

/** What a cold engine does with more requests than it bears. */
export type ColdOverload = 'crash' | 'fail' | 'refuse';

/** How an engine behaves while cold. */
export interface ColdBehaviour {
  /** Time that the engine stays cold. */
  readonly coldMs: number;
  /** Most requests at once that the cold engine bears. */
  readonly coldLimit: number;
  readonly overload: ColdOverload;
}

/** Options of {@link ColdPhase.create}. */
export interface ColdPhaseOptions extends ColdBehaviour {
  readonly timer: TimerService;
}

/** Tells whether an engine is cold, and counts the times it was overloaded then. */
export class ColdPhase {
  private coldUntilMs = 0;

  private overloadCount = 0;

  private constructor(private readonly opts: ColdPhaseOptions) {}

  /** Makes a phase that is over. */
  static create(opts: ColdPhaseOptions): ColdPhase {
    return new ColdPhase(opts);
  }

  /** Times that more requests came than the cold engine bears. */
  get overloads(): number {
    return this.overloadCount;
  }

  /** Whether the engine is cold now. */
  get isCold(): boolean {
    return this.opts.timer.nowMs() < this.coldUntilMs;
  }

  /** Turns the engine cold. */
  begin(): void {
    this.coldUntilMs = this.opts.timer.nowMs() + this.opts.coldMs;
  }

  /** What an engine with this many requests does; nothing while it bears them. */
  onRequest(inFlight: number): ColdOverload | undefined {
    if (!this.isCold || inFlight <= this.opts.coldLimit) {
      return undefined;
    }
    this.overloadCount += 1;
    return this.opts.overload;
  }
}
