import {
  type ClockReading,
  elapsedSinceMs,
  readClocks,
  type TimerService,
} from '@galenatiller/timer';

/** Options of {@link CountedSpan.create}. */
export interface CountedSpanOptions {
  readonly timer: TimerService;
  /** Window of the limits that the nodes share; others count a node for as long after it is gone. */
  readonly windowMs: number;
  /** Whether no process ran under the name of this node before. */
  readonly isFirstStart: () => boolean;
}

/**
 * Tells whether this node may use its share of a limit that all nodes keep together within a window. Others
 * count it, and what a process before it under the same name has used has left the window.
 */
export class CountedSpan {
  private since: ClockReading | undefined;

  private confirmedAt: ClockReading | undefined;

  private isFirstSpan = false;

  private constructor(private readonly opts: CountedSpanOptions) {}

  /** Creates the span of a node that nobody counts yet. */
  static create(opts: CountedSpanOptions): CountedSpan {
    return new CountedSpan(opts);
  }

  /** Notes that the store has this node's entry, as of now. */
  confirm(): void {
    const now = readClocks(this.opts.timer);
    if (!this.isCounted()) {
      this.isFirstSpan = this.since === undefined;
      this.since = now;
    }
    this.confirmedAt = now;
  }

  /** Whether the whole share may be used. */
  get isWhole(): boolean {
    const { timer, windowMs, isFirstStart } = this.opts;
    if (!this.since || !this.isCounted()) {
      return false;
    }
    const isOld = elapsedSinceMs(timer, this.since) >= windowMs;
    return isOld || (this.isFirstSpan && isFirstStart());
  }

  private isCounted(): boolean {
    const { timer, windowMs } = this.opts;
    return this.confirmedAt !== undefined && elapsedSinceMs(timer, this.confirmedAt) < windowMs;
  }
}
