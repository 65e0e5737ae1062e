import type { TimerService } from '@galenatiller/timer';

/** Options of {@link TokenBucket.create}. */
export interface TokenBucketOptions {
  readonly timer: TimerService;
  readonly ratePerSecond: number;
  /** Calls that may come at once after a pause. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** Keeps calls within a rate; callers wait their turn in order. */
export class TokenBucket {
  private readonly intervalMs: number;

  /** When the next call would be due if calls came evenly. */
  private dueMs: number;

  private constructor(private readonly opts: TokenBucketOptions) {
    this.intervalMs = MS_PER_SECOND / opts.ratePerSecond;
    this.dueMs = opts.timer.nowMs();
  }

  /** Makes a full bucket. */
  static create(opts: TokenBucketOptions): TokenBucket {
    return new TokenBucket(opts);
  }

  /** Waits until a call is within the rate, or until the signal aborts. */
  async take(signal: AbortSignal): Promise<void> {
    const { timer, burst } = this.opts;
    const nowMs = timer.nowMs();
    this.dueMs = Math.max(this.dueMs, nowMs);
    const delayMs = this.dueMs - (burst - 1) * this.intervalMs - nowMs;
    this.dueMs += this.intervalMs;
    if (delayMs > 0) {
      await timer.sleep({ delayMs, signal });
    }
  }

  /** Lets no call pass for a time, as the peer asked for. */
  pause(pauseMs: number): void {
    const { timer, burst } = this.opts;
    const freeMs = timer.nowMs() + pauseMs + (burst - 1) * this.intervalMs;
    this.dueMs = Math.max(this.dueMs, freeMs);
  }
}
